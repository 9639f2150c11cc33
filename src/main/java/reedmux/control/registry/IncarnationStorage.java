package reedmux.control.registry;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import reedmux.common.disk.Journal;
import reedmux.common.eventloop.Reactor;
import reedmux.control.instances.CheckerIncarnation;
import reedmux.control.instances.InstanceDirectory;
import reedmux.control.rpc.MessageCodec;
import reedmux.control.rpc.Messages.IncarnationNotice;

/**
 * The lives of checkers on disk, so that a loss of all processes at once does not make the system wait for
 * every checker's next call. Nothing depends on it: what is missing or old is told again. One thread waits
 * for the disk.
 */
final class IncarnationStorage {
    private static final long WRITE_INTERVAL_MICROS = 300_000;
    /** After a failure it is tried again so much later. */
    private static final long RETRY_DELAY_MICROS = 2_000_000;

    private final Reactor reactor;
    private final MessageCodec codec;
    private final InstanceDirectory directory;
    private final Journal journal;
    private long savedChange;
    private long nextAttemptMicros;
    private boolean writeInProgress;
    private final Executor diskWorker;

    IncarnationStorage(Path dir, Reactor reactor, MessageCodec codec, InstanceDirectory fleet) {
        this.reactor = reactor;
        this.codec = codec;
        this.directory = fleet;
        journal = new Journal(reactor.volume(dir));
        diskWorker = reactor.newWorker("reedmux-disk", 4);
        List<byte[]> records = journal.recover();
        journal.problems().forEach(line -> reactor.error("disk: " + line));
        for (int i = 0; i < records.size(); i++) {
            if (codec.decodeOrNull(records.get(i)) instanceof IncarnationNotice told) {
                told.instances().forEach(life -> fleet.merge(life, reactor.now()));
            } else {
                reactor.error("disk: " + journal.recordLocation(i) + ": a record that this program does not know, of "
                        + records.get(i).length + " bytes");
            }
        }
        savedChange = fleet.lastChange();
        reactor.scheduleEvery(WRITE_INTERVAL_MICROS, this::saveChanges);
    }

    private void saveChanges() {
        if (writeInProgress || directory.lastChange() == savedChange || reactor.now() < nextAttemptMicros) {
            return;
        }
        writeInProgress = true;
        long changes = directory.lastChange();
        List<CheckerIncarnation> lives = new ArrayList<>(directory.all(reactor.now()));
        byte[] record = codec.encode(new IncarnationNotice(0, lives));
        diskWorker.execute(() -> {
            boolean done = false;
            try {
                journal.startGeneration(List.of(record));
                done = true;
            } catch (IOException e) {
                reactor.error("disk: " + e.getMessage());
            }
            boolean safe = done;
            reactor.execute(() -> {
                writeInProgress = false;
                savedChange = safe ? changes : savedChange;
                nextAttemptMicros = safe ? 0 : reactor.now() + RETRY_DELAY_MICROS;
            });
        });
    }
}
