package reedmux.control.store;

import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import reedmux.common.disk.Journal;
import reedmux.common.eventloop.Reactor;
import reedmux.control.configuration.ConfigurationItem;
import reedmux.control.consensus.CoreMembers;
import reedmux.control.consensus.PersistentCoreState;
import reedmux.control.replication.Replica;
import reedmux.control.replication.Watermark;
import reedmux.control.rpc.MessageCodec;
import reedmux.control.rpc.Messages.ConfigurationUpdate;
import reedmux.control.rpc.Messages.CoreStateRecord;
import reedmux.control.rpc.Messages.DecisionNotice;
import reedmux.control.rpc.Messages.ProposalRecord;
import reedmux.control.rpc.Messages.WatermarkUpdate;

/**
 * Persists a {@link Replica} and the state of the core membership in the files of a {@link Journal}. Each record is one
 * message encoded by {@link MessageCodec}:
 *
 * <table>
 *   <caption>Records of a generation</caption>
 *   <tr><th>record</th><th>in the initial state</th><th>appended</th></tr>
 *   <tr><td>{@link CoreStateRecord}</td><td>first, unless the core is unknown</td>
 *       <td>when the state of the membership changes; the last record is authoritative</td></tr>
 *   <tr><td>{@link WatermarkUpdate}</td><td>all watermarks, in as many records as needed</td>
 *       <td>when new watermarks are received from another store</td></tr>
 *   <tr><td>{@link ConfigurationUpdate}</td><td>all committed items, in one or more records, and whether they are
 *       complete</td><td>when items are received from another store; never marked as complete, because only an initial
 *       state contains all items</td></tr>
 *   <tr><td>{@link ProposalRecord}</td><td>last, one for each pending proposal</td>
 *       <td>when a proposal becomes pending or precommitted, or is continued under another ballot</td></tr>
 *   <tr><td>{@link DecisionNotice}</td><td>none</td>
 *       <td>when a proposal is decided: it is no longer pending, and its items are committed or discarded</td></tr>
 * </table>
 *
 * <p>A proposal or a membership state is durable once its callback has been called with {@code true}, and no message
 * that depends on it is sent earlier. The other records are written without waiting for the outcome: their content is
 * already on the disks of a quorum, and is pulled again if it is lost.
 *
 * <p>Compaction starts a new generation with the current state. It takes place when the current generation has grown
 * large enough, when the journal accepts no more records, and when the replica has become complete but the current
 * generation does not record that yet.
 *
 * <p>Not thread-safe; confined to the reactor thread. {@link JournalWriter} owns the thread that blocks on the disk.
 */
public final class ReplicaStorage {
    private static final long COMPACTION_CHECK_MICROS = 125_000;
    /** Smaller generations are never compacted because of their size, as reading them takes negligible time. */
    private static final long MIN_COMPACTION_BYTES = 4L * 1024 * 1024;
    /** A generation is compacted once it has grown to more than this multiple of its initial size. */
    private static final int COMPACTION_GROWTH = 2;
    /** Delay before the retry of a failed compaction; doubles with each further failure. */
    private static final long MIN_RETRY_DELAY_MICROS = 125_000;

    private static final long MAX_RETRY_DELAY_MICROS = 2_000_000;

    private final Reactor reactor;
    private final MessageCodec codec;
    /** Encodes states on the disk thread, which needs its own codec because a codec is not thread-safe. */
    private final MessageCodec diskCodec = new MessageCodec();

    private final Replica replica;
    private final Journal journal;
    private final JournalWriter writer;
    private long generationStartBytes;
    private boolean compacting;
    private long nextCompactionAt;
    private long retryDelayMicros = MIN_RETRY_DELAY_MICROS;
    /** Whether the replica holds every change acknowledged with this store's vote; false after the loss of a disk. */
    private boolean complete;
    /** Whether the current generation is marked as complete. */
    private boolean completeOnDisk;

    private PersistentCoreState core;

    ReplicaStorage(Path directory, Reactor reactor, MessageCodec codec, Replica replica) {
        this.reactor = reactor;
        this.codec = codec;
        this.replica = replica;
        journal = new Journal(reactor.volume(directory));
        writer = new JournalWriter(journal, reactor);
    }

    // ---- Recovery ----------------------------------------------------------------------------------

    /**
     * Recovers the replica from the readable records on disk, and starts a new generation with the recovered state. If
     * the disk cannot be written, the store starts anyway and rejects writes that it cannot persist. Blocks on disk
     * I/O.
     *
     * @param firstStart whether the whole system starts for the first time, in which case an empty disk is not a loss
     * @param firstCore the initial core of the system, used at its first start
     * @return whether the replica is complete; false if anything that was once on the disk may have been lost
     */
    boolean load(boolean firstStart, CoreMembers firstCore) {
        List<byte[]> records = journal.recover();
        for (String problem : journal.problems()) {
            reactor.error("disk: " + problem);
        }
        for (int i = 0; i < records.size(); i++) {
            if (!apply(codec.decodeOrNull(records.get(i)))) {
                reactor.error("disk: " + journal.recordLocation(i) + ": unrecognized record of " + records.get(i).length
                        + " bytes");
            }
        }
        if (firstStart && !journal.foundFiles()) {
            complete = true;
            core = new PersistentCoreState(firstCore, null, null, null, false);
        }
        complete &= !journal.mayHaveLostRecords();
        writer.startFirstGeneration(currentState().encodeWith(diskCodec));
        onGenerationStarted(complete, !writer.isBroken());
        reactor.scheduleEvery(COMPACTION_CHECK_MICROS, this::compactIfDue);
        return complete;
    }

    /** Replays a record; returns false if its type is not recognized. */
    private boolean apply(Object record) {
        if (record instanceof ConfigurationUpdate update) {
            replica.merge(update.items());
            complete |= update.complete();
        } else if (record instanceof WatermarkUpdate update) {
            replica.mergeWatermarks(update.watermarks());
        } else if (record instanceof ProposalRecord proposalRecord) {
            replica.addPending(proposalRecord.proposal());
        } else if (record instanceof DecisionNotice decision) {
            replica.resolvePending(decision.proposalId(), decision.committed(), decision.items());
        } else if (record instanceof CoreStateRecord coreRecord) {
            core = coreRecord.state();
        } else {
            return false;
        }
        return true;
    }

    /** Returns the latest state of the core membership, or null if it is unknown. */
    PersistentCoreState core() {
        return core;
    }

    // ---- Writes ------------------------------------------------------------------------------------

    /** Persists the state of the core membership; {@code onOutcome} is called with whether it is durable. */
    void persistCore(PersistentCoreState state, Consumer<Boolean> onOutcome) {
        core = state;
        append(new CoreStateRecord(state), onOutcome);
    }

    /** Persists a pending proposal; {@code onOutcome} is called with whether it is durable. */
    void persistPending(ProposalRecord proposal, Consumer<Boolean> onOutcome) {
        append(proposal, onOutcome);
    }

    /** Persists the decision on a proposal, without waiting for the outcome. */
    void persistDecision(DecisionNotice decision) {
        append(decision, durable -> {});
    }

    /** Persists committed items received from another store, without waiting for the outcome. */
    void persistItems(List<ConfigurationItem> items) {
        append(new ConfigurationUpdate(0, 0, false, items, List.of()), durable -> {});
    }

    /** Persists watermarks received from another store, without waiting for the outcome. */
    void persistWatermarks(List<Watermark> watermarks) {
        append(new WatermarkUpdate(watermarks), durable -> {});
    }

    private void append(Object record, Consumer<Boolean> onOutcome) {
        if (writer.isBroken()) {
            compact();
        }
        writer.append(codec.encode(record), onOutcome);
    }

    /** Marks the next generation as complete, after everything that a lost disk held has been recovered from peers. */
    void markComplete() {
        complete = true;
        compact();
    }

    // ---- Compaction --------------------------------------------------------------------------------

    private ReplicaState currentState() {
        return ReplicaState.of(replica, core, complete);
    }

    private void compactIfDue() {
        long maxBytes = Math.max(MIN_COMPACTION_BYTES, COMPACTION_GROWTH * generationStartBytes);
        if (writer.isBroken() || complete && !completeOnDisk || writer.generationBytes() > maxBytes) {
            compact();
        }
    }

    /** Starts a generation with the current state, unless a compaction is in progress or a retry delay is pending. */
    void compact() {
        if (compacting || reactor.now() < nextCompactionAt) {
            return;
        }
        compacting = true;
        ReplicaState state = currentState();
        writer.startGeneration(state.encodeWith(diskCodec), durable -> onGenerationStarted(state.complete(), durable));
    }

    private void onGenerationStarted(boolean saysComplete, boolean durable) {
        compacting = false;
        if (durable) {
            retryDelayMicros = MIN_RETRY_DELAY_MICROS;
            completeOnDisk = saysComplete;
            generationStartBytes = writer.generationBytes();
        } else {
            nextCompactionAt = reactor.now() + retryDelayMicros;
            retryDelayMicros = Math.min(MAX_RETRY_DELAY_MICROS, 2 * retryDelayMicros);
        }
    }
}
