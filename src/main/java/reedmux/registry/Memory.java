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
    private final Reactor reactor;
    private final Codec codec;
    private final Fleet fleet;
    private final Journal journal;
    private long kept;
    private boolean writing;
    private final Executor disk;

    Memory(Path dir, Reactor reactor, Codec codec, Fleet fleet) {
        this.reactor = reactor;
        this.codec = codec;
        this.fleet = fleet;
        journal = new Journal(reactor.volume(dir));
        disk = reactor.worker("reedmux-disk", 4);
        try {
            for (byte[] record : journal.read()) {
                if (codec.read(record) instanceof Tell told) {
                    told.lives().forEach(life -> fleet.merge(life, reactor.now()));
                }
            }
            kept = fleet.changes();
        } catch (IOException e) {
            reactor.wrong("disk: " + e.getMessage());
        }
        reactor.every(PACE, this::keep);
    }

    private void keep() {
        if (writing || fleet.changes() == kept) {
            return;
        }
        writing = true;
        kept = fleet.changes();
        List<Incarnation> lives = new ArrayList<>(fleet.all(reactor.now()));
        byte[] record = codec.write(new Tell(0, lives));
        disk.execute(() -> {
            try {
                journal.begin(List.of(record));
            } catch (IOException e) {
                reactor.wrong("disk: " + e.getMessage());
            }
            reactor.execute(() -> writing = false);
        });
    }
}
