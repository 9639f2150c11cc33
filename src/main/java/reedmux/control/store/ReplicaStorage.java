package reedmux.control.store;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import reedmux.common.disk.Journal;
import reedmux.common.eventloop.Reactor;
import reedmux.control.configuration.ConfigurationItem;
import reedmux.control.consensus.CoreMembers;
import reedmux.control.consensus.CoreMembership;
import reedmux.control.consensus.Proposal;
import reedmux.control.replication.Replica;
import reedmux.control.replication.Watermark;
import reedmux.control.rpc.MessageCodec;
import reedmux.control.rpc.Messages.ConfigurationUpdate;
import reedmux.control.rpc.Messages.CoreStateRecord;
import reedmux.control.rpc.Messages.DecisionNotice;
import reedmux.control.rpc.Messages.ProposalRecord;
import reedmux.control.rpc.Messages.WatermarkUpdate;

/**
 * A replica's place on disk. One thread waits for the disk, so that nobody else does; one sync covers all
 * that has come meanwhile. What is to be written, and the state that a new generation begins with, go through
 * one queue: a record that comes after a state was taken is written behind it. What waits is bounded, and
 * beyond that refused like what the disk refuses.
 */
public final class ReplicaStorage {
    private static final int MAX_QUEUED_WRITES = 256;
    private static final long COMPACTION_CHECK_MICROS = 125_000;
    /** A generation is begun anew once it has this size, and twice that with which it began. */
    private static final long MIN_COMPACTION_BYTES = 4L * 1024 * 1024;
    /** After a failure the next generation is tried so much later, and twice that after each further one. */
    private static final long MIN_RETRY_DELAY_MICROS = 125_000;

    private static final long MAX_RETRY_DELAY_MICROS = 2_000_000;
    /** How many items, and about how many bytes of them, a record of the state has. */
    private static final int MAX_ITEMS_PER_RECORD = 512;

    private static final int MAX_ITEM_BYTES_PER_RECORD = 256 * 1024;
    private final Reactor reactor;
    private final MessageCodec codec;
    /** For the disk's thread. */
    private final MessageCodec diskCodec = new MessageCodec();

    private final Replica replica;
    private final Journal journal;
    private final Executor diskExecutor;
    private final List<QueuedWrite> queue = new ArrayList<>();
    /** As the disk's thread has told: bytes of the generation now and at its beginning. */
    private long generationBytes;

    private long generationStartBytes;
    private boolean journalBroken;
    /** Whether a state is on its way to the disk. */
    private boolean compacting;

    private long nextCompactionAt;
    private long retryDelayMicros = MIN_RETRY_DELAY_MICROS;
    /**
     * Whether what is here is all that we ever held: false after a disk was lost, until it is made up for.
     */
    private boolean complete;
    /** Whether a generation that stands says so. */
    private boolean completeOnDisk;

    private CoreMembership.PersistentCoreState core;

    /** A record that waits to be written, or a state; and who hears whether it is safe. */
    private record QueuedWrite(byte[] record, ReplicaState state, Consumer<Boolean> onOutcome) {}

    /** What a generation begins with, as of one moment; encoded on the disk's thread. */
    private record ReplicaState(
            CoreMembership.PersistentCoreState core,
            boolean complete,
            List<ConfigurationItem> items,
            List<Watermark> watermarks,
            List<Proposal> pending) {}

    ReplicaStorage(Path dir, Reactor reactor, MessageCodec codec, Replica replica) {
        this.reactor = reactor;
        this.codec = codec;
        this.replica = replica;
        journal = new Journal(reactor.volume(dir));
        diskExecutor = reactor.newWorker("reedmux-disk", MAX_QUEUED_WRITES);
    }

    /**
     * Brings the replica up to what can be read of the disk; false where what was once there has been lost.
     * Where nothing can be written the store starts all the same, and refuses what it can't keep.
     */
    boolean load(boolean firstStart, CoreMembers firstCore) {
        List<byte[]> records = journal.recover();
        journal.problems().forEach(line -> reactor.error("disk: " + line));
        for (int i = 0; i < records.size(); i++) {
            Object told = codec.decodeOrNull(records.get(i));
            if (told instanceof ConfigurationUpdate items) {
                replica.merge(items.items());
                complete |= items.complete();
            } else if (told instanceof WatermarkUpdate marks) {
                replica.mergeWatermarks(marks.watermarks());
            } else if (told instanceof ProposalRecord propose) {
                replica.addPending(propose.proposal());
            } else if (told instanceof DecisionNotice decided) {
                replica.resolvePending(decided.callId(), decided.committed(), decided.items());
            } else if (told instanceof CoreStateRecord kept) {
                core = kept.state();
            } else {
                reactor.error("disk: " + journal.recordLocation(i) + ": a record that this program does not know, of "
                        + records.get(i).length + " bytes");
            }
        }
        if (firstStart && !journal.foundFiles()) {
            complete = true;
            core = new CoreMembership.PersistentCoreState(firstCore, null, null, null, false);
        }
        complete &= !journal.mayHaveLostRecords();
        ReplicaState state = currentState();
        try {
            journal.startGeneration(encodeState(state));
        } catch (IOException e) {
            reactor.error("disk: " + e.getMessage());
        }
        journalBroken = journal.isBroken();
        onGenerationStarted(state.complete, journalBroken, journal.lengthBytes());
        reactor.scheduleEvery(COMPACTION_CHECK_MICROS, this::compactIfDue);
        return complete;
    }

    /** From now on what is here counts again. */
    void markComplete() {
        complete = true;
        compact();
    }

    /** What is known of the core; null for nothing. */
    CoreMembership.PersistentCoreState core() {
        return core;
    }

    /** Keeps that; {@code done} hears whether it is safe. */
    void persistCore(CoreMembership.PersistentCoreState state, Consumer<Boolean> done) {
        core = state;
        enqueueRecord(codec.encode(new CoreStateRecord(state)), done);
    }

    private ReplicaState currentState() {
        return new ReplicaState(
                core,
                complete,
                List.copyOf(replica.committed()),
                List.copyOf(replica.watermarks()),
                List.copyOf(replica.pending().values()));
    }

    /** The records of a state, each made as it is written. */
    private Iterable<byte[]> encodeState(ReplicaState state) {
        return () -> new Iterator<>() {
            private boolean told = state.core == null;
            private int mark;
            private int item;
            private int held = -1;

            @Override
            public boolean hasNext() {
                return held < state.pending.size();
            }

            @Override
            public byte[] next() {
                if (held >= 0) {
                    return diskCodec.encode(new ProposalRecord(state.pending.get(held++)));
                }
                if (!told) {
                    told = true;
                    return diskCodec.encode(new CoreStateRecord(state.core));
                }
                if (mark < state.watermarks.size()) {
                    int from = mark;
                    mark = Math.min(from + MAX_ITEMS_PER_RECORD, state.watermarks.size());
                    return diskCodec.encode(new WatermarkUpdate(state.watermarks.subList(from, mark)));
                }
                int from = item;
                for (int bytes = 0;
                        item < state.items.size()
                                && item - from < MAX_ITEMS_PER_RECORD
                                && bytes < MAX_ITEM_BYTES_PER_RECORD;
                        item++) {
                    bytes += state.items.get(item).body().length();
                }
                held = item == state.items.size() ? 0 : -1;
                return diskCodec.encode(
                        new ConfigurationUpdate(0, 0, state.complete, state.items.subList(from, item), List.of()));
            }
        };
    }

    /** Keeps a call that is held; {@code done} hears whether it is safe. */
    void persistPending(ProposalRecord propose, Consumer<Boolean> done) {
        enqueueRecord(codec.encode(propose), done);
    }

    void persistDecision(DecisionNotice decided) {
        enqueueRecord(codec.encode(decided), safe -> {});
    }

    /** Only a state says that it is whole, as only that has all. */
    void persistItems(List<ConfigurationItem> items) {
        enqueueRecord(codec.encode(new ConfigurationUpdate(0, 0, false, items, List.of())), safe -> {});
    }

    void persistWatermarks(List<Watermark> marks) {
        enqueueRecord(codec.encode(new WatermarkUpdate(marks)), safe -> {});
    }

    private void enqueueRecord(byte[] record, Consumer<Boolean> done) {
        if (journalBroken) {
            compact();
        }
        enqueue(new QueuedWrite(record, null, done));
    }

    private void enqueue(QueuedWrite one) {
        boolean idle;
        synchronized (queue) {
            if (queue.size() >= MAX_QUEUED_WRITES) {
                reactor.error("disk: too much waits for it");
                reactor.execute(() -> one.onOutcome.accept(false));
                return;
            }
            idle = queue.isEmpty();
            queue.add(one);
        }
        if (idle) {
            try {
                diskExecutor.execute(this::writeQueued);
            } catch (RejectedExecutionException e) {
                reactor.error("disk: too much waits for it");
                reactor.execute(this::rejectQueued);
            }
        }
    }

    private List<QueuedWrite> drainQueue() {
        synchronized (queue) {
            List<QueuedWrite> all = List.copyOf(queue);
            queue.clear();
            return all;
        }
    }

    private void rejectQueued() {
        drainQueue().forEach(each -> each.onOutcome.accept(false));
    }

    /** All that waits, in its order; one sync for the records between two states. */
    private void writeQueued() {
        List<QueuedWrite> written = new ArrayList<>();
        for (QueuedWrite each : drainQueue()) {
            if (each.state == null) {
                append(each, written);
            } else {
                sync(written);
                startGeneration(each);
            }
        }
        sync(written);
    }

    private void append(QueuedWrite one, List<QueuedWrite> written) {
        try {
            journal.append(one.record);
            written.add(one);
        } catch (IOException e) {
            reportOutcome(List.of(one), e);
        }
    }

    private void sync(List<QueuedWrite> written) {
        if (!written.isEmpty()) {
            IOException failure = null;
            try {
                journal.sync();
            } catch (IOException e) {
                failure = e;
            }
            reportOutcome(List.copyOf(written), failure);
            written.clear();
        }
    }

    private void startGeneration(QueuedWrite one) {
        IOException failure = null;
        try {
            journal.startGeneration(encodeState(one.state));
        } catch (IOException e) {
            failure = e;
        }
        reportOutcome(List.of(one), failure);
    }

    /** The reactor's thread hears what became of some of what waited. */
    private void reportOutcome(List<QueuedWrite> some, IOException failure) {
        long now = journal.lengthBytes();
        boolean broken = journal.isBroken();
        if (failure != null) {
            reactor.error("disk: " + failure.getMessage());
        }
        reactor.execute(() -> {
            generationBytes = now;
            journalBroken = broken;
            some.forEach(each -> each.onOutcome.accept(failure == null));
        });
    }

    // ---- New generations -----------------------------------------------------------------------------
    /** Begins the file anew with what the replica has now, unless that has failed a moment ago. */
    void compact() {
        if (!compacting && reactor.now() >= nextCompactionAt) {
            compacting = true;
            ReplicaState state = currentState();
            enqueue(new QueuedWrite(null, state, safe -> onGenerationStarted(state.complete, !safe, generationBytes)));
        }
    }

    private void onGenerationStarted(boolean saysWhole, boolean failed, long size) {
        compacting = false;
        if (failed) {
            nextCompactionAt = reactor.now() + retryDelayMicros;
            retryDelayMicros = Math.min(MAX_RETRY_DELAY_MICROS, 2 * retryDelayMicros);
        } else {
            retryDelayMicros = MIN_RETRY_DELAY_MICROS;
            completeOnDisk = saysWhole;
            generationBytes = size;
            generationStartBytes = size;
        }
    }

    private void compactIfDue() {
        if (journalBroken
                || complete && !completeOnDisk
                || generationBytes > Math.max(MIN_COMPACTION_BYTES, 2 * generationStartBytes)) {
            compact();
        }
    }
}
