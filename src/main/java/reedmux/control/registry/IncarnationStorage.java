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
 * Stores the known instances on disk, so that after all processes have failed at once, requests can be routed without
 * waiting for the next heartbeat of each instance. Correctness does not depend on these files: instances report missing
 * or outdated entries again with their heartbeats. Each write replaces the file with one that contains all instances.
 * Disk I/O runs on a worker thread, everything else on the reactor's thread.
 */
final class IncarnationStorage {
    private static final long WRITE_INTERVAL_MICROS = 300_000;
    /** Delay after a failed write, so that retries do not keep filling a full disk. */
    private static final long RETRY_DELAY_MICROS = 2_000_000;
    /** Capacity of the worker's queue. */
    private static final int MAX_QUEUED_WRITES = 4;

    private final Reactor reactor;
    private final MessageCodec codec;
    private final InstanceDirectory directory;
    private final Journal journal;
    private final Executor diskWorker;
    /** The last change of the directory that the file on disk includes. */
    private long savedChange;

    private long nextAttemptMicros;
    private boolean writeInProgress;

    /** Loads the stored instances into the directory, then schedules periodic writes of changes. */
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

    /** Runs on the worker thread. */
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
