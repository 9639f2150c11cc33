package reedmux.store;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import reedmux.disk.Journal;
import reedmux.item.Item;
import reedmux.item.Mark;
import reedmux.item.Members;
import reedmux.item.Membership;
import reedmux.item.Proposal;
import reedmux.item.Replica;
import reedmux.link.Codec;
import reedmux.link.Messages.CoreKept;
import reedmux.link.Messages.Decided;
import reedmux.link.Messages.Items;
import reedmux.link.Messages.Marks;
import reedmux.link.Messages.Propose;
import reedmux.net.Reactor;

/**
 * A replica's place on disk. One thread waits for the disk, so that nobody else does; one sync covers all
 * that has come meanwhile. What is to be written, and the state that a new generation begins with, go through
 * one queue: a record that comes after a state was taken is written behind it. What waits is bounded, and
 * beyond that refused like what the disk refuses.
 */
final class ReplicaStorage {
    private static final int MOST_WAITING = 256;
    private static final long LOOK = 125_000;
    /** A generation is begun anew once it has this size, and twice that with which it began. */
    private static final long COMPACT_AT = 4L * 1024 * 1024;
    /** After a failure the next generation is tried so much later, and twice that after each further one. */
    private static final long PAUSE = 125_000;

    private static final long LONGEST_PAUSE = 2_000_000;
    /** How many items, and about how many bytes of them, a record of the state has. */
    private static final int PIECE = 512;

    private static final int PIECE_BYTES = 256 * 1024;
    private final Reactor reactor;
    private final Codec codec;
    /** For the disk's thread. */
    private final Codec encoder = new Codec();

    private final Replica replica;
    private final Journal journal;
    private final Executor disk;
    private final List<Waiting> waiting = new ArrayList<>();
    /** As the disk's thread has told: bytes of the generation now and at its beginning. */
    private long length;

    private long begun;
    private boolean spoilt;
    /** Whether a state is on its way to the disk. */
    private boolean compacting;

    private long tryAt;
    private long pause = PAUSE;
    /**
     * Whether what is here is all that we ever held: false after a disk was lost, until it is made up for.
     */
    private boolean whole;
    /** Whether a generation that stands says so. */
    private boolean wholeOnDisk;

    private Membership.State core;

    /** A record that waits to be written, or a state; and who hears whether it is safe. */
    private record Waiting(byte[] record, State state, Consumer<Boolean> done) {}

    /** What a generation begins with, as of one moment; encoded on the disk's thread. */
    private record State(
            Membership.State core, boolean whole, List<Item> items, List<Mark> marks, List<Proposal> held) {}

    ReplicaStorage(Path dir, Reactor reactor, Codec codec, Replica replica) {
        this.reactor = reactor;
        this.codec = codec;
        this.replica = replica;
        journal = new Journal(reactor.volume(dir));
        disk = reactor.worker("reedmux-disk", MOST_WAITING);
    }

    /**
     * Brings the replica up to what can be read of the disk; false where what was once there has been lost.
     * Where nothing can be written the store starts all the same, and refuses what it can't keep.
     */
    boolean load(boolean firstStart, Members firstCore) {
        List<byte[]> records = journal.read();
        journal.problems().forEach(line -> reactor.wrong("disk: " + line));
        for (int i = 0; i < records.size(); i++) {
            Object told = codec.read(records.get(i));
            if (told instanceof Items items) {
                replica.merge(items.items());
                whole |= items.whole();
            } else if (told instanceof Marks marks) {
                replica.mark(marks.marks());
            } else if (told instanceof Propose propose) {
                replica.hold(propose.proposal());
            } else if (told instanceof Decided decided) {
                replica.decide(decided.call(), decided.inForce(), decided.items());
            } else if (told instanceof CoreKept kept) {
                core = kept.state();
            } else {
                reactor.wrong("disk: " + journal.place(i) + ": a record that this program does not know, of "
                        + records.get(i).length + " bytes");
            }
        }
        if (firstStart && !journal.found()) {
            whole = true;
            core = new Membership.State(firstCore, null, null, null, false);
        }
        whole &= !journal.damaged();
        State state = state();
        try {
            journal.begin(records(state));
        } catch (IOException e) {
            reactor.wrong("disk: " + e.getMessage());
        }
        spoilt = journal.broken();
        begun(state.whole, spoilt, journal.length());
        reactor.every(LOOK, this::look);
        return whole;
    }

    /** From now on what is here counts again. */
    void whole() {
        whole = true;
        compact();
    }

    /** What is known of the core; null for nothing. */
    Membership.State core() {
        return core;
    }

    /** Keeps that; {@code done} hears whether it is safe. */
    void core(Membership.State state, Consumer<Boolean> done) {
        core = state;
        write(codec.write(new CoreKept(state)), done);
    }

    private State state() {
        return new State(
                core,
                whole,
                List.copyOf(replica.inForce()),
                List.copyOf(replica.marks()),
                List.copyOf(replica.held().values()));
    }

    /** The records of a state, each made as it is written. */
    private Iterable<byte[]> records(State state) {
        return () -> new Iterator<>() {
            private boolean told = state.core == null;
            private int mark;
            private int item;
            private int held = -1;

            @Override
            public boolean hasNext() {
                return held < state.held.size();
            }

            @Override
            public byte[] next() {
                if (held >= 0) {
                    return encoder.write(new Propose(state.held.get(held++)));
                }
                if (!told) {
                    told = true;
                    return encoder.write(new CoreKept(state.core));
                }
                if (mark < state.marks.size()) {
                    int from = mark;
                    mark = Math.min(from + PIECE, state.marks.size());
                    return encoder.write(new Marks(state.marks.subList(from, mark)));
                }
                int from = item;
                for (int bytes = 0; item < state.items.size() && item - from < PIECE && bytes < PIECE_BYTES; item++) {
                    bytes += state.items.get(item).body().length();
                }
                held = item == state.items.size() ? 0 : -1;
                return encoder.write(new Items(0, 0, state.whole, state.items.subList(from, item), List.of()));
            }
        };
    }

    /** Keeps a call that is held; {@code done} hears whether it is safe. */
    void held(Propose propose, Consumer<Boolean> done) {
        write(codec.write(propose), done);
    }

    void decided(Decided decided) {
        write(codec.write(decided), safe -> {});
    }

    /** Only a state says that it is whole, as only that has all. */
    void merged(List<Item> items) {
        write(codec.write(new Items(0, 0, false, items, List.of())), safe -> {});
    }

    void marked(List<Mark> marks) {
        write(codec.write(new Marks(marks)), safe -> {});
    }

    private void write(byte[] record, Consumer<Boolean> done) {
        if (spoilt) {
            compact();
        }
        add(new Waiting(record, null, done));
    }

    private void add(Waiting one) {
        boolean idle;
        synchronized (waiting) {
            if (waiting.size() >= MOST_WAITING) {
                reactor.wrong("disk: too much waits for it");
                reactor.execute(() -> one.done.accept(false));
                return;
            }
            idle = waiting.isEmpty();
            waiting.add(one);
        }
        if (idle) {
            try {
                disk.execute(this::writeAll);
            } catch (RejectedExecutionException e) {
                reactor.wrong("disk: too much waits for it");
                reactor.execute(this::refuseAll);
            }
        }
    }

    private List<Waiting> takeAll() {
        synchronized (waiting) {
            List<Waiting> all = List.copyOf(waiting);
            waiting.clear();
            return all;
        }
    }

    private void refuseAll() {
        takeAll().forEach(each -> each.done.accept(false));
    }

    /** All that waits, in its order; one sync for the records between two states. */
    private void writeAll() {
        List<Waiting> written = new ArrayList<>();
        for (Waiting each : takeAll()) {
            if (each.state == null) {
                append(each, written);
            } else {
                sync(written);
                begin(each);
            }
        }
        sync(written);
    }

    private void append(Waiting one, List<Waiting> written) {
        try {
            journal.append(one.record);
            written.add(one);
        } catch (IOException e) {
            told(List.of(one), e);
        }
    }

    private void sync(List<Waiting> written) {
        if (!written.isEmpty()) {
            IOException failure = null;
            try {
                journal.sync();
            } catch (IOException e) {
                failure = e;
            }
            told(List.copyOf(written), failure);
            written.clear();
        }
    }

    private void begin(Waiting one) {
        IOException failure = null;
        try {
            journal.begin(records(one.state));
        } catch (IOException e) {
            failure = e;
        }
        told(List.of(one), failure);
    }

    /** The reactor's thread hears what became of some of what waited. */
    private void told(List<Waiting> some, IOException failure) {
        long now = journal.length();
        boolean broken = journal.broken();
        if (failure != null) {
            reactor.wrong("disk: " + failure.getMessage());
        }
        reactor.execute(() -> {
            length = now;
            spoilt = broken;
            some.forEach(each -> each.done.accept(failure == null));
        });
    }

    // ---- New generations -----------------------------------------------------------------------------
    /** Begins the file anew with what the replica has now, unless that has failed a moment ago. */
    void compact() {
        if (!compacting && reactor.now() >= tryAt) {
            compacting = true;
            State state = state();
            add(new Waiting(null, state, safe -> begun(state.whole, !safe, length)));
        }
    }

    private void begun(boolean saysWhole, boolean failed, long size) {
        compacting = false;
        if (failed) {
            tryAt = reactor.now() + pause;
            pause = Math.min(LONGEST_PAUSE, 2 * pause);
        } else {
            pause = PAUSE;
            wholeOnDisk = saysWhole;
            length = size;
            begun = size;
        }
    }

    private void look() {
        if (spoilt || whole && !wholeOnDisk || length > Math.max(COMPACT_AT, 2 * begun)) {
            compact();
        }
    }
}
