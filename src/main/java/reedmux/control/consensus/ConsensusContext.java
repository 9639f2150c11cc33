package reedmux.control.consensus;

import java.util.List;
import reedmux.control.replication.Replica;

/** State shared by the components of one {@link ConsensusNode}. Confined to the thread that calls the node. */
final class ConsensusContext {
    /**
     * Timeout of a round, a quorum contact or a peer's contact request, in microseconds. It is shorter than the timeout
     * of an operator's request, so that the operator receives the result.
     */
    static final long PROPOSAL_TIMEOUT_MICROS = 800_000;

    final String self;
    final Replica replica;
    final ConsensusPort port;
    Quorum quorum;
    /**
     * Whether the core is being changed; no new proposal is prepared and nothing is decided until the change completes.
     */
    boolean fenced;
    /** The time of the current event, in microseconds of a monotonic clock. */
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
