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
import reedmux.item.Shelf;
import reedmux.link.Codec;
import reedmux.link.Messages.Decided;
import reedmux.link.Messages.Items;
import reedmux.link.Messages.Propose;
import reedmux.net.Reactor;

/**
 * A shelf's place on disk. One thread waits for the disk, so that nobody else does; what it is given is
 * bounded, and beyond that refused like what the disk refuses.
 */
final class Keeper {
    private static final int MOST_WAITING = 256;
    private final Reactor reactor;
    private final Codec codec;
    private final Shelf shelf;
    private final Journal journal;
    private volatile long length;
    private volatile boolean spoilt;
    private boolean compacting;
    /**
     * Whether what is here is all that we ever held: false after a disk was lost, until it is made up for.
     */
    private boolean whole;
    private final Executor disk;

    Keeper(Path dir, Reactor reactor, Codec codec, Shelf shelf) {
        this.reactor = reactor;
        this.codec = codec;
        this.shelf = shelf;
        journal = new Journal(reactor.volume(dir));
        disk = reactor.worker("reedmux-disk", MOST_WAITING);
    }

    /** Brings the shelf up to what is on disk; false where what was once there has been lost. */
    boolean load(boolean firstStart) throws IOException {
        for (byte[] record : journal.read()) {
            Object told = codec.read(record);
            if (told instanceof Items items) {
                shelf.merge(items.items());
                whole |= items.whole();
            } else if (told instanceof Propose propose) {
                shelf.hold(propose.call(), propose.items());
            } else if (told instanceof Decided decided) {
                shelf.decide(decided.call(), decided.inForce(), decided.items());
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
        records.add(codec.write(new Items(0, 0, whole, List.copyOf(shelf.inForce()))));
        shelf.held().forEach((call, items) -> records.add(codec.write(new Propose(call, items))));
        return records;
    }

    /** Keeps a call that is held; {@code done} hears whether it is safe. */
    void held(Propose propose, Consumer<Boolean> done) {
        byte[] record = codec.write(propose);
        write(record, done);
    }

    void decided(Decided decided) {
        write(codec.write(decided), safe -> { });
    }

    void merged(List<Item> items) {
        write(codec.write(new Items(0, 0, whole, items)), safe -> { });
    }

    private void write(byte[] record, Consumer<Boolean> done) {
        if (spoilt) {
            compact();
        }
        task(() -> {
            boolean safe = false;
            try {
                journal.append(record);
                journal.sync();
                length = journal.length();
                safe = true;
            } catch (IOException e) {
                spoilt = journal.broken();
                reactor.wrong("disk: " + e.getMessage());
            }
            boolean told = safe;
            reactor.execute(() -> done.accept(told));
        }, () -> done.accept(false));
    }

    /** Begins the file anew with what the shelf has now. */
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
