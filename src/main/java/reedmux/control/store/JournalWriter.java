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
 * Writes a {@link Journal} on a thread of its own, so that the reactor never waits for the disk. Records and new
 * generations go through one queue in their order; one sync covers all records that have come meanwhile (group commit).
 * The queue is bounded, and what comes beyond that fails like what the disk refuses.
 *
 * <p>All methods are for the reactor's thread, which also hears the outcomes. Only the private methods below
 * {@link #writeQueued} run on the disk's thread, which alone uses the journal once the first generation was started.
 */
final class JournalWriter {
    private static final int MAX_QUEUED_WRITES = 256;
    private static final String THREAD_NAME = "reedmux-disk";
    private static final String QUEUE_FULL = "disk: too much waits for it";

    private final Journal journal;
    private final Reactor reactor;
    private final Executor diskExecutor;
    /** Guarded by itself. */
    private final List<QueuedWrite> queue = new ArrayList<>();
    /** As of the latest outcome that the reactor has heard. */
    private long generationBytes;

    private boolean broken;

    /**
     * A record to be appended, or a generation to be started.
     *
     * @param record null where a generation is to be started
     * @param generation null where a record is to be appended
     */
    private record QueuedWrite(byte[] record, Iterable<byte[]> generation, Consumer<Boolean> onOutcome) {}

    JournalWriter(Journal journal, Reactor reactor) {
        this.journal = journal;
        this.reactor = reactor;
        diskExecutor = reactor.newWorker(THREAD_NAME, MAX_QUEUED_WRITES);
    }

    /** Bytes of the current generation; as of the latest outcome. */
    long generationBytes() {
        return generationBytes;
    }

    /** Whether the journal takes no records until a new generation was started; as of the latest outcome. */
    boolean isBroken() {
        return broken;
    }

    /** Starts a generation before the disk's thread has anything to do, and waits for the disk. */
    void startFirstGeneration(Iterable<byte[]> state) {
        try {
            journal.startGeneration(state);
        } catch (IOException e) {
            reactor.error("disk: " + e.getMessage());
        }
        broken = journal.isBroken();
        generationBytes = journal.lengthBytes();
    }

    /** Appends a record; {@code onOutcome} hears later whether it is durable. */
    void append(byte[] record, Consumer<Boolean> onOutcome) {
        enqueue(new QueuedWrite(record, null, onOutcome));
    }

    /**
     * Starts a new generation; records that are appended later come behind its state.
     *
     * @param state the records of the state, read on the disk's thread
     * @param onOutcome hears later whether the generation is durable
     */
    void startGeneration(Iterable<byte[]> state, Consumer<Boolean> onOutcome) {
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

    // ---- On the disk's thread ----------------------------------------------------------------------

    /** Writes everything that is queued, with one sync for the records between two generations. */
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
        } catch (IOException e) {
            reportOutcome(List.of(write), e);
        }
    }

    private void sync(List<QueuedWrite> unsynced) {
        if (unsynced.isEmpty()) {
            return;
        }
        IOException failure = null;
        try {
            journal.sync();
        } catch (IOException e) {
            failure = e;
        }
        reportOutcome(List.copyOf(unsynced), failure);
        unsynced.clear();
    }

    private void writeGeneration(QueuedWrite write) {
        IOException failure = null;
        try {
            journal.startGeneration(write.generation);
        } catch (IOException e) {
            failure = e;
        }
        reportOutcome(List.of(write), failure);
    }

    /** Has the reactor's thread hear what became of some writes; {@code failure} is null where they are durable. */
    private void reportOutcome(List<QueuedWrite> writes, IOException failure) {
        long bytesNow = journal.lengthBytes();
        boolean brokenNow = journal.isBroken();
        if (failure != null) {
            reactor.error("disk: " + failure.getMessage());
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
