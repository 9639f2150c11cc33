package reedmux.control.consensus;

import java.util.List;
import java.util.Map;

/**
 * Completes proposals that are pending here and that nobody decides, because their proposer has died or given up.
 *
 * <p>A pending proposal is proposed again with a higher ballot by every node that has it, one after the other by their
 * rank, so that they don't supersede each other's rounds. Only a precommitted one may have been acknowledged, and the
 * vote {@link Vote#PRECOMMITTED} of any node of a quorum keeps it from being dropped.
 */
final class UndecidedProposalRecovery {
    /** How long a proposal is pending before the node of the lowest rank recovers it. */
    private static final long RECOVERY_DELAY_MICROS = 250_000;
    /** How much longer the node of the next rank waits. */
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

    /** Proposes again what is due; to be called only while this node is current. */
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
