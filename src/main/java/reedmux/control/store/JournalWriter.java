package reedmux.control.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import reedmux.common.disk.Journal;
import reedmux.common.eventloop.Reactor;

/**
 * Writes a {@link Journal} on a dedicated thread, so that the reactor never blocks on the disk. Records and new
 * generations pass through one FIFO queue, and a single sync covers all records queued in the meantime (group commit).
 * The queue is bounded: a write that exceeds its capacity fails in the same way as a write that the disk rejects.
 *
 * <p>The outcome of each write is reported, whatever the disk thread fails by: a write without an outcome would stall
 * all that waits for it.
 *
 * <p>All methods must be called on the reactor thread, which also runs the outcome callbacks. Only {@link #writeQueued}
 * and the private methods after it run on the disk thread, which has exclusive use of the journal once the first
 * generation has been started.
 */
public final class JournalWriter {
    private static final int MAX_QUEUED_WRITES = 256;
    private static final String THREAD_NAME = "reedmux-disk";
    private static final String QUEUE_FULL = "disk: the write queue is full";

    private final Journal journal;
    private final Reactor reactor;
    private final Executor diskExecutor;
    /** Guarded by its own monitor. */
    private final List<QueuedWrite> queue = new ArrayList<>();
    /** Size of the current generation as of the latest outcome reported to the reactor thread. */
    private long generationBytes;

    private boolean broken;

    /**
     * A queued request either to append a record or to start a generation.
     *
     * @param record the record to append; null if a generation is to be started
     * @param generation the records of the generation to start; null if a record is to be appended
     */
    private record QueuedWrite(byte[] record, Iterable<byte[]> generation, Consumer<Boolean> onOutcome) {}

    /** Creates a writer; {@code journal} must not be used by others from the first write on. */
    public JournalWriter(Journal journal, Reactor reactor) {
        this.journal = journal;
        this.reactor = reactor;
        diskExecutor = reactor.newWorker(THREAD_NAME, MAX_QUEUED_WRITES);
    }

    /** Returns the size of the current generation in bytes, as of the latest outcome. */
    long generationBytes() {
        return generationBytes;
    }

    /** Returns whether the journal rejects records until a new generation is started, as of the latest outcome. */
    public boolean isBroken() {
        return broken;
    }

    /** Starts a generation on the calling thread, before the disk thread has any work. Blocks on disk I/O. */
    void startFirstGeneration(Iterable<byte[]> state) {
        try {
            journal.startGeneration(state);
        } catch (IOException e) {
            reactor.error("disk: " + e.getMessage());
        }
        broken = journal.isBroken();
        generationBytes = journal.lengthBytes();
    }

    /** Appends a record asynchronously; {@code onOutcome} is called later with whether the record is durable. */
    public void append(byte[] record, Consumer<Boolean> onOutcome) {
        enqueue(new QueuedWrite(record, null, onOutcome));
    }

    /**
     * Starts a new generation asynchronously. Records appended later follow its state.
     *
     * @param state the records of the state, iterated on the disk thread
     * @param onOutcome called later with whether the generation is durable
     */
    public void startGeneration(Iterable<byte[]> state, Consumer<Boolean> onOutcome) {
        enqueue(new QueuedWrite(null, state, onOutcome));
    }

    private void enqueue(QueuedWrite write) {
        boolean wasEmpty;
        synchronized (queue) {
            if (queue.size() >= MAX_QUEUED_WRITES) {
                reactor.error(QUEUE_FULL);
                reactor.execute(() -> write.onOutcome.accept(false));
                return;
            }
            wasEmpty = queue.isEmpty();
            queue.add(write);
        }
        if (wasEmpty) {
            try {
                diskExecutor.execute(this::writeQueued);
            } catch (RejectedExecutionException e) {
                reactor.error(QUEUE_FULL);
                reactor.execute(this::rejectQueued);
            }
        }
    }

    private List<QueuedWrite> drainQueue() {
        synchronized (queue) {
            List<QueuedWrite> writes = List.copyOf(queue);
            queue.clear();
            return writes;
        }
    }

    private void rejectQueued() {
        for (QueuedWrite write : drainQueue()) {
            write.onOutcome.accept(false);
        }
    }

    // ---- Disk thread -------------------------------------------------------------------------------

    /** Writes all queued requests, with one sync for consecutive records between two generations. */
    private void writeQueued() {
        List<QueuedWrite> unsynced = new ArrayList<>();
        for (QueuedWrite write : drainQueue()) {
            if (write.record != null) {
                appendUnsynced(write, unsynced);
            } else {
                sync(unsynced);
                writeGeneration(write);
            }
        }
        sync(unsynced);
    }

    private void appendUnsynced(QueuedWrite write, List<QueuedWrite> unsynced) {
        try {
            journal.append(write.record);
            unsynced.add(write);
        } catch (IOException | RuntimeException | VirtualMachineError e) {
            reportOutcome(List.of(write), e);
        }
    }

    private void sync(List<QueuedWrite> unsynced) {
        if (unsynced.isEmpty()) {
            return;
        }
        Throwable failure = null;
        try {
            journal.sync();
        } catch (IOException | RuntimeException | VirtualMachineError e) {
            failure = e;
        }
        reportOutcome(List.copyOf(unsynced), failure);
        unsynced.clear();
    }

    private void writeGeneration(QueuedWrite write) {
        Throwable failure = null;
        try {
            journal.startGeneration(write.generation);
        } catch (IOException | RuntimeException | VirtualMachineError e) {
            failure = e;
        }
        reportOutcome(List.of(write), failure);
    }

    /** Reports the outcome of some writes on the reactor thread; {@code failure} is null if they are durable. */
    private void reportOutcome(List<QueuedWrite> writes, Throwable failure) {
        long bytesNow = journal.lengthBytes();
        boolean brokenNow = journal.isBroken();
        if (failure != null) {
            reactor.error("disk: " + (failure instanceof IOException ? failure.getMessage() : failure));
        }
        reactor.execute(() -> {
            generationBytes = bytesNow;
            broken = brokenNow;
            for (QueuedWrite write : writes) {
                write.onOutcome.accept(failure == null);
            }
        });
    }
}
