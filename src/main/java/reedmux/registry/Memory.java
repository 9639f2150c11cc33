package reedmux.registry;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import reedmux.disk.Journal;
import reedmux.fleet.Fleet;
import reedmux.fleet.Incarnation;
import reedmux.link.Codec;
import reedmux.link.Messages.Tell;
import reedmux.net.Reactor;

/**
 * The lives of checkers on disk, so that a loss of all processes at once does not make the system wait for
 * every checker's next call. Nothing depends on it: what is missing or old is told again. One thread waits
 * for the disk.
 */
final class Memory {
    private static final long PACE = 300_000;
    /** After a failure it is tried again so much later. */
    private static final long PAUSE = 2_000_000;

    private final Reactor reactor;
    private final Codec codec;
    private final Fleet fleet;
    private final Journal journal;
    private long kept;
    private long tryAt;
    private boolean writing;
    private final Executor disk;

    Memory(Path dir, Reactor reactor, Codec codec, Fleet fleet) {
        this.reactor = reactor;
        this.codec = codec;
        this.fleet = fleet;
        journal = new Journal(reactor.volume(dir));
        disk = reactor.worker("reedmux-disk", 4);
        List<byte[]> records = journal.read();
        journal.problems().forEach(line -> reactor.wrong("disk: " + line));
        for (int i = 0; i < records.size(); i++) {
            if (codec.read(records.get(i)) instanceof Tell told) {
                told.lives().forEach(life -> fleet.merge(life, reactor.now()));
            } else {
                reactor.wrong("disk: " + journal.place(i) + ": a record that this program does not know, of "
                        + records.get(i).length + " bytes");
            }
        }
        kept = fleet.changes();
        reactor.every(PACE, this::keep);
    }

    private void keep() {
        if (writing || fleet.changes() == kept || reactor.now() < tryAt) {
            return;
        }
        writing = true;
        long changes = fleet.changes();
        List<Incarnation> lives = new ArrayList<>(fleet.all(reactor.now()));
        byte[] record = codec.write(new Tell(0, lives));
        disk.execute(() -> {
            boolean done = false;
            try {
                journal.begin(List.of(record));
                done = true;
            } catch (IOException e) {
                reactor.wrong("disk: " + e.getMessage());
            }
            boolean safe = done;
            reactor.execute(() -> {
                writing = false;
                kept = safe ? changes : kept;
                tryAt = safe ? 0 : reactor.now() + PAUSE;
            });
        });
    }
}
