package reedmux.store;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import reedmux.disk.Journal;
import reedmux.item.Item;
import reedmux.item.Mark;
import reedmux.item.Replica;
import reedmux.link.Codec;
import reedmux.link.Messages.Decided;
import reedmux.link.Messages.Items;
import reedmux.link.Messages.Marks;
import reedmux.link.Messages.Propose;
import reedmux.net.Reactor;

/**
 * A replica's place on disk. One thread waits for the disk, so that nobody else does; one sync covers all
 * that
 * has come meanwhile. What waits is bounded, and beyond that refused like what the disk refuses.
 */
final class ReplicaStorage {
    private static final int MOST_WAITING = 256;
    private final Reactor reactor;
    private final Codec codec;
    private final Replica replica;
    private final Journal journal;
    private volatile long length;
    private volatile boolean spoilt;
    private boolean compacting;
    /**
     * Whether what is here is all that we ever held: false after a disk was lost, until it is made up for.
     */
    private boolean whole;
    private final Executor disk;
    private final List<Waiting> waiting = new ArrayList<>();

    /** A record that waits to be written, and who hears whether it is safe. */
    private record Waiting(byte[] record, Consumer<Boolean> done) { }

    ReplicaStorage(Path dir, Reactor reactor, Codec codec, Replica replica) {
        this.reactor = reactor;
        this.codec = codec;
        this.replica = replica;
        journal = new Journal(reactor.volume(dir));
        disk = reactor.worker("reedmux-disk", MOST_WAITING);
    }

    /** Brings the replica up to what is on disk; false where what was once there has been lost. */
    boolean load(boolean firstStart) throws IOException {
        for (byte[] record : journal.read()) {
            Object told = codec.read(record);
            if (told instanceof Items items) {
                replica.merge(items.items());
                whole |= items.whole();
            } else if (told instanceof Marks marks) {
                replica.mark(marks.marks());
            } else if (told instanceof Propose propose) {
                replica.hold(propose.proposal());
            } else if (told instanceof Decided decided) {
                replica.decide(decided.call(), decided.inForce(), decided.items());
            }
        }
        whole |= firstStart && !journal.found();
        journal.begin(state());
        length = journal.length();
        return whole;
    }

    /** From now on what is here counts again. */
    void whole() {
        whole = true;
        compact();
    }

    private List<byte[]> state() {
        List<byte[]> records = new ArrayList<>();
        records.add(codec.write(new Items(0, 0, whole, List.copyOf(replica.inForce()), List.of())));
        if (!replica.marks().isEmpty()) {
            records.add(codec.write(new Marks(List.copyOf(replica.marks()))));
        }
        replica.held().values().forEach(proposal -> records.add(codec.write(new Propose(proposal))));
        return records;
    }

    /** Keeps a call that is held; {@code done} hears whether it is safe. */
    void held(Propose propose, Consumer<Boolean> done) {
        write(codec.write(propose), done);
    }

    void decided(Decided decided) {
        write(codec.write(decided), safe -> { });
    }

    void merged(List<Item> items) {
        write(codec.write(new Items(0, 0, whole, items, List.of())), safe -> { });
    }

    void marked(List<Mark> marks) {
        write(codec.write(new Marks(marks)), safe -> { });
    }

    private void write(byte[] record, Consumer<Boolean> done) {
        if (spoilt) {
            compact();
        }
        boolean idle;
        synchronized (waiting) {
            if (waiting.size() >= MOST_WAITING) {
                reactor.wrong("disk: too much waits for it");
                reactor.execute(() -> done.accept(false));
                return;
            }
            idle = waiting.isEmpty();
            waiting.add(new Waiting(record, done));
        }
        if (idle) {
            task(this::writeAll, this::refuseAll);
        }
    }

    private List<Waiting> takeAll() {
        synchronized (waiting) {
            List<Waiting> all = List.copyOf(waiting);
            waiting.clear();
            return all;
        }
    }

    /** One sync for all that waits. */
    private void writeAll() {
        List<Waiting> written = new ArrayList<>();
        List<Waiting> lost = new ArrayList<>();
        for (Waiting each : takeAll()) {
            try {
                journal.append(each.record);
                written.add(each);
            } catch (IOException e) {
                lost.add(each);
                reactor.wrong("disk: " + e.getMessage());
            }
        }
        try {
            if (!written.isEmpty()) {
                journal.sync();
            }
        } catch (IOException e) {
            lost.addAll(written);
            written.clear();
            reactor.wrong("disk: " + e.getMessage());
        }
        length = journal.length();
        spoilt = journal.broken();
        reactor.execute(() -> {
            written.forEach(each -> each.done.accept(true));
            lost.forEach(each -> each.done.accept(false));
        });
    }

    private void refuseAll() {
        takeAll().forEach(each -> each.done.accept(false));
    }

    /** Begins the file anew with what the replica has now. */
    void compact() {
        if (compacting) {
            return;
        }
        compacting = true;
        List<byte[]> state = state();
        task(() -> {
            try {
                journal.begin(state);
                length = journal.length();
                spoilt = false;
            } catch (IOException e) {
                spoilt = journal.broken();
                reactor.wrong("disk: " + e.getMessage());
            }
            reactor.execute(() -> compacting = false);
        }, () -> compacting = false);
    }

    long length() {
        return length;
    }

    private void task(Runnable task, Runnable refused) {
        try {
            disk.execute(task);
        } catch (RejectedExecutionException e) {
            reactor.wrong("disk: too much waits for it");
            reactor.execute(refused);
        }
    }
}
