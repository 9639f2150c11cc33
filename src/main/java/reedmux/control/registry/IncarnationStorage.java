package reedmux.control.registry;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import reedmux.common.disk.Journal;
import reedmux.common.eventloop.Reactor;
import reedmux.control.instances.InstanceDirectory;
import reedmux.control.instances.InstanceIncarnation;
import reedmux.control.rpc.MessageCodec;
import reedmux.control.rpc.Messages.IncarnationNotice;

/**
 * Keeps the instances on disk, so that after a loss of all processes at once requests need not wait for each instance's
 * next heartbeat. Nothing depends on it: what is missing or old is reported again. Each write replaces the file by one
 * with all instances. A worker thread waits for the disk, everything else runs on the reactor's thread.
 */
final class IncarnationStorage {
    private static final long WRITE_INTERVAL_MICROS = 300_000;
    /** After a failed write; a full disk is not filled by retries. */
    private static final long RETRY_DELAY_MICROS = 2_000_000;
    /** Of the worker. */
    private static final int MAX_QUEUED_WRITES = 4;

    private final Reactor reactor;
    private final MessageCodec codec;
    private final InstanceDirectory directory;
    private final Journal journal;
    private final Executor diskWorker;
    /** The directory's change that the file on disk is as of. */
    private long savedChange;

    private long nextAttemptMicros;
    private boolean writeInProgress;

    /** Reads what earlier processes have kept into the directory, and begins to write what changes. */
    IncarnationStorage(Path folder, Reactor reactor, MessageCodec codec, InstanceDirectory directory) {
        this.reactor = reactor;
        this.codec = codec;
        this.directory = directory;
        journal = new Journal(reactor.volume(folder));
        diskWorker = reactor.newWorker("reedmux-disk", MAX_QUEUED_WRITES);
        recover();
        savedChange = directory.lastChange();
        reactor.scheduleEvery(WRITE_INTERVAL_MICROS, this::saveChanges);
    }

    private void recover() {
        List<byte[]> records = journal.recover();
        journal.problems().forEach(problem -> reactor.error("disk: " + problem));
        for (int i = 0; i < records.size(); i++) {
            byte[] record = records.get(i);
            if (codec.decodeOrNull(record) instanceof IncarnationNotice notice) {
                notice.instances().forEach(instance -> directory.merge(instance, reactor.now()));
            } else {
                reactor.error("disk: " + journal.recordLocation(i) + ": a record that this program does not know, of "
                        + record.length + " bytes");
            }
        }
    }

    private void saveChanges() {
        boolean changed = directory.lastChange() != savedChange;
        if (!changed || writeInProgress || reactor.now() < nextAttemptMicros) {
            return;
        }
        writeInProgress = true;
        long change = directory.lastChange();
        List<InstanceIncarnation> instances = new ArrayList<>(directory.all(reactor.now()));
        byte[] record = codec.encode(new IncarnationNotice(0, instances));
        diskWorker.execute(() -> {
            boolean written = write(record);
            reactor.execute(() -> onWritten(change, written));
        });
    }

    /** Runs on the worker. */
    private boolean write(byte[] record) {
        try {
            journal.startGeneration(List.of(record));
            return true;
        } catch (IOException e) {
            reactor.error("disk: " + e.getMessage());
            return false;
        }
    }

    private void onWritten(long change, boolean written) {
        writeInProgress = false;
        if (written) {
            savedChange = change;
            nextAttemptMicros = 0;
        } else {
            nextAttemptMicros = reactor.now() + RETRY_DELAY_MICROS;
        }
    }
}
