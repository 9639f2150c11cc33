package reedmux.control.consensus;

import java.util.List;
import java.util.Map;

/**
 * Recovers pending proposals whose proposer has failed or abandoned them.
 *
 * <p>Every node that has a pending proposal proposes it again under a higher ballot. The nodes do so one after the
 * other in the order of their ranks, so that they don't supersede each other's rounds. Only a precommitted proposal may
 * have been acknowledged, and a {@link Vote#PRECOMMITTED} vote of any node of a quorum prevents it from being dropped.
 */
final class UndecidedProposalRecovery {
    /** How long a proposal is pending before the node of the lowest rank recovers it, in microseconds. */
    private static final long RECOVERY_DELAY_MICROS = 250_000;
    /** Additional recovery delay per rank, in microseconds. */
    private static final long RECOVERY_STAGGER_MICROS = 300_000;

    private final ConsensusContext context;
    private final PeerSynchronization peers;
    private final BallotHistory ballots;
    private final Acceptor acceptor;
    private final Proposer proposer;

    UndecidedProposalRecovery(
            ConsensusContext context,
            PeerSynchronization peers,
            BallotHistory ballots,
            Acceptor acceptor,
            Proposer proposer) {
        this.context = context;
        this.peers = peers;
        this.ballots = ballots;
        this.acceptor = acceptor;
        this.proposer = proposer;
    }

    /**
     * Proposes again the pending proposals whose recovery delay has expired. Must be called only while this node is
     * current.
     */
    void recoverOverdueProposals() {
        long delay = RECOVERY_DELAY_MICROS + RECOVERY_STAGGER_MICROS * peers.rank();
        for (Map.Entry<String, Long> entry : List.copyOf(acceptor.pendingSince().entrySet())) {
            Proposal proposal = context.replica.pending().get(entry.getKey());
            if (context.now - entry.getValue() > delay && proposal != null && !proposer.hasRound(proposal.id())) {
                acceptor.pendingSince().put(proposal.id(), context.now + ConsensusContext.PROPOSAL_TIMEOUT_MICROS);
                proposer.propose(ballots.withHigherBallot(proposal), null, context.now);
            }
        }
    }
}
