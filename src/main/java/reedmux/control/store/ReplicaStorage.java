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
 * Keeps a {@link Replica}, and the state of the core's membership, on disk. The files are those of a {@link Journal};
 * each record is one message as {@link MessageCodec} encodes it:
 *
 * <table>
 *   <caption>Records of a generation</caption>
 *   <tr><th>record</th><th>in the state at the beginning</th><th>appended</th></tr>
 *   <tr><td>{@link CoreStateRecord}</td><td>first, unless nothing is known of the core</td>
 *       <td>when the state of the membership changes; the last one holds</td></tr>
 *   <tr><td>{@link WatermarkUpdate}</td><td>all watermarks, in as many records as needed</td>
 *       <td>when new ones come from another store</td></tr>
 *   <tr><td>{@link ConfigurationUpdate}</td><td>all committed items, in one or more records, with whether they are
 *       complete</td><td>when items come from another store; never complete, as only a state has everything</td></tr>
 *   <tr><td>{@link ProposalRecord}</td><td>last, one for each pending proposal</td>
 *       <td>when a proposal becomes pending or precommitted, or goes on under another ballot</td></tr>
 *   <tr><td>{@link DecisionNotice}</td><td>none</td>
 *       <td>when a proposal is decided on: it is no longer pending, and its items are committed or dropped</td></tr>
 * </table>
 *
 * <p>A proposal and the state of the membership are durable once their callback has heard {@code true}, and nothing
 * that depends on them is sent before. Nobody waits for the other records: what they say is on the disks of a quorum
 * already, and is pulled again where it is lost.
 *
 * <p>Compaction starts a new generation with the present state: when the current one has grown enough, when the journal
 * takes no more records, and when the replica has become complete and no generation says so. For the reactor's thread;
 * {@link JournalWriter} has the thread that waits for the disk.
 */
public final class ReplicaStorage {
    private static final long COMPACTION_CHECK_MICROS = 125_000;
    /** Below this a generation is never compacted for its size: reading it takes no time that matters. */
    private static final long MIN_COMPACTION_BYTES = 4L * 1024 * 1024;
    /** A generation is compacted for its size once it is so many times as large as it was at its beginning. */
    private static final int COMPACTION_GROWTH = 2;
    /** After a failed compaction the next one waits for this, and after each further failure twice as long. */
    private static final long MIN_RETRY_DELAY_MICROS = 125_000;

    private static final long MAX_RETRY_DELAY_MICROS = 2_000_000;

    private final Reactor reactor;
    private final MessageCodec codec;
    /** The disk's thread encodes states; a codec is for one thread. */
    private final MessageCodec diskCodec = new MessageCodec();

    private final Replica replica;
    private final Journal journal;
    private final JournalWriter writer;
    private long generationStartBytes;
    private boolean compacting;
    private long nextCompactionAt;
    private long retryDelayMicros = MIN_RETRY_DELAY_MICROS;
    /** Whether the replica has everything that was ever acknowledged with this store's vote: not after a lost disk. */
    private boolean complete;
    /** Whether the current generation says that it is complete. */
    private boolean completeOnDisk;

    private PersistentCoreState core;

    ReplicaStorage(Path directory, Reactor reactor, MessageCodec codec, Replica replica) {
        this.reactor = reactor;
        this.codec = codec;
        this.replica = replica;
        journal = new Journal(reactor.volume(directory));
        writer = new JournalWriter(journal, reactor);
    }

    // ---- Start -------------------------------------------------------------------------------------

    /**
     * Brings the replica up to what can be read of the disk, and starts a new generation with that. Where nothing can
     * be written the store starts all the same, and refuses what it can't persist. Waits for the disk.
     *
     * @param firstStart whether the whole system starts for the first time, so that an empty disk has lost nothing
     * @param firstCore the core of such a system
     * @return whether the replica is complete: false where something that was once on the disk may be lost
     */
    boolean load(boolean firstStart, CoreMembers firstCore) {
        List<byte[]> records = journal.recover();
        for (String problem : journal.problems()) {
            reactor.error("disk: " + problem);
        }
        for (int i = 0; i < records.size(); i++) {
            if (!apply(codec.decodeOrNull(records.get(i)))) {
                reactor.error("disk: " + journal.recordLocation(i) + ": a record that this program does not know, of "
                        + records.get(i).length + " bytes");
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

    /** Replays a record; returns whether it is known. */
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

    /** What is known of the core; null for nothing. */
    PersistentCoreState core() {
        return core;
    }

    // ---- Writes ------------------------------------------------------------------------------------

    /** Persists the state of the core's membership; {@code onOutcome} hears whether it is durable. */
    void persistCore(PersistentCoreState state, Consumer<Boolean> onOutcome) {
        core = state;
        append(new CoreStateRecord(state), onOutcome);
    }

    /** Persists a pending proposal; {@code onOutcome} hears whether it is durable. */
    void persistPending(ProposalRecord proposal, Consumer<Boolean> onOutcome) {
        append(proposal, onOutcome);
    }

    /** Persists what became of a proposal. */
    void persistDecision(DecisionNotice decision) {
        append(decision, durable -> {});
    }

    /** Persists committed items of another store. */
    void persistItems(List<ConfigurationItem> items) {
        append(new ConfigurationUpdate(0, 0, false, items, List.of()), durable -> {});
    }

    /** Persists watermarks of another store. */
    void persistWatermarks(List<Watermark> watermarks) {
        append(new WatermarkUpdate(watermarks), durable -> {});
    }

    private void append(Object record, Consumer<Boolean> onOutcome) {
        if (writer.isBroken()) {
            compact();
        }
        writer.append(codec.encode(record), onOutcome);
    }

    /** The replica has everything again that a lost disk had: the next generation says so. */
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

    /** Starts a generation with the present state, unless one is on its way or the last one has failed just now. */
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
