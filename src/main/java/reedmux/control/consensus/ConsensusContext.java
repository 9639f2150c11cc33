package reedmux.control.consensus;

import java.util.List;
import reedmux.control.replication.Replica;

/** What the parts of one {@link ConsensusNode} share. Confined to the thread that calls the node. */
final class ConsensusContext {
    /**
     * How long a round, a contact or a peer's contact request may take before it has failed. Shorter than the
     * time an operator's request waits, so that the operator is told.
     */
    static final long PROPOSAL_TIMEOUT_MICROS = 800_000;

    final String self;
    final Replica replica;
    final ConsensusPort port;
    Quorum quorum;
    /** Whether the core is being changed: nothing new is prepared and nothing is decided until it is. */
    boolean fenced;
    /** The time of the event that is being handled, in microseconds of a monotonic clock. */
    long now;

    ConsensusContext(String self, Replica replica, ConsensusPort port) {
        this.self = self;
        this.replica = replica;
        this.port = port;
        quorum = Quorum.of(List.of(self), 1);
    }

    boolean isTimedOut(long since) {
        return now - since > PROPOSAL_TIMEOUT_MICROS;
    }
}
