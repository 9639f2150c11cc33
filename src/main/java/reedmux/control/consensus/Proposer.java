package reedmux.control.consensus;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import reedmux.control.configuration.ConfigurationItem;

/**
 * The proposer of a node. It gets proposals decided in rounds.
 *
 * <p>A proposal takes two rounds, as in three-phase commit. In the first, a quorum persists it as prepared. In the
 * second, under a higher ballot, a quorum marks it as precommitted. Then the proposer commits it and broadcasts the
 * decision.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>A committed proposal is precommitted on the disks of a quorum. A recovery therefore finds and completes it,
 *     and never drops it.
 *   <li>A proposal is dropped only under a ballot for which no attempt, earlier or in progress, can still commit it:
 *     either every quorum contains a node that refuses it under this ballot, or one of its revisions was committed
 *     with different content.
 *   <li>If a contending proposal is pending at a voter, that proposal is decided first, so at most one of two
 *     contending proposals is committed.
 * </ul>
 */
final class Proposer {
    /**
     * How long two contending proposals that block each other wait before one yields, in microseconds. The wait is
     * multiplied by the rank of the node plus one, so that the two don't yield at the same time.
     */
    private static final long CONTENTION_TIMEOUT_MICROS = 200_000;

    /** The outcome of the rounds of a proposal. */
    private enum Outcome {
        COMMITTED,
        /** No attempt can still commit the proposal. */
        DROPPED,
        /** Another attempt may still commit the proposal. */
        ABANDONED
    }

    private final ConsensusContext context;
    private final PeerSynchronization peers;
    private final BallotHistory ballots;
    private final Acceptor acceptor;
    private final Learner learner;
    /** The latest round of each proposal for which this node seeks a decision, by proposal ID. */
    private final Map<String, ProposalRound> rounds = new LinkedHashMap<>();

    Proposer(
            ConsensusContext context,
            PeerSynchronization peers,
            BallotHistory ballots,
            Acceptor acceptor,
            Learner learner) {
        this.context = context;
        this.peers = peers;
        this.ballots = ballots;
        this.acceptor = acceptor;
        this.learner = learner;
    }

    boolean hasRound(String proposalId) {
        return rounds.containsKey(proposalId);
    }

    /** Starts the first round of a proposal; {@code listener} may be null. */
    void propose(Proposal proposal, RoundListener listener, long startedAt) {
        startRound(new ProposalRound(proposal, listener, startedAt));
    }

    private void startRound(ProposalRound round) {
        rounds.put(round.proposal.id(), round);
        context.port.broadcastProposal(round.proposal);
        acceptor.onProposal(context.self, round.proposal);
    }

    private void startNextRound(ProposalRound round, Proposal proposal) {
        startRound(new ProposalRound(ballots.withHigherBallot(proposal), round.listener, round.startedAt));
    }

    /** Restarts all rounds after a change of the quorum, because votes counted under the previous quorum are void. */
    void restartAll() {
        for (ProposalRound round : List.copyOf(rounds.values())) {
            startNextRound(round, round.proposal);
        }
    }

    /** Handles a vote. While the core is fenced nothing is decided; rounds restart after the core change. */
    void onVote(String voter, String proposalId, Ballot ballot, Vote vote) {
        ProposalRound round = rounds.get(proposalId);
        if (round == null || context.fenced || !round.proposal.ballot().equals(ballot)) {
            return;
        }
        round.recordVote(voter, vote);
        if (vote == Vote.CONFLICT) {
            finish(proposalId, Outcome.DROPPED);
        } else if (context.quorum.isReachedBy(round.preparedVoters())) {
            onPreparedByQuorum(round);
        } else if (context.quorum.isBlockedBy(round.refusingVoters())) {
            finish(proposalId, Outcome.DROPPED);
        } else if (context.quorum.isBlockedBy(round.unpreparedVoters())) {
            finish(proposalId, Outcome.ABANDONED);
        }
    }

    private void onPreparedByQuorum(ProposalRound round) {
        if (round.hasVote(Vote.BUSY)) {
            return; // the contending proposal at that voter is decided first
        }
        if (round.proposal.precommitted()) {
            finish(round.proposal.id(), Outcome.COMMITTED);
        } else {
            startNextRound(round, round.proposal.asPrecommitted());
        }
    }

    private void finish(String proposalId, Outcome outcome) {
        ProposalRound round = rounds.remove(proposalId);
        if (outcome != Outcome.COMMITTED) {
            context.port.log("proposal " + (outcome == Outcome.DROPPED ? "dropped: " : "not decided: ") + round);
        }
        if (outcome != Outcome.ABANDONED) {
            decide(round, outcome == Outcome.COMMITTED);
        }
        if (round.listener == null) {
            return;
        }
        if (outcome == Outcome.DROPPED) {
            round.listener.onDropped();
        } else if (outcome == Outcome.ABANDONED) {
            round.listener.onAbandoned();
        }
    }

    private void decide(ProposalRound round, boolean committed) {
        String id = round.proposal.id();
        Ballot ballot = round.proposal.ballot();
        List<ConfigurationItem> items = committed ? round.proposal.items() : List.of();
        learner.onDecision(id, ballot, committed, items);
        if (committed && round.listener != null) {
            round.listener.onCommitted();
        }
        context.port.broadcastDecision(id, ballot, committed, items);
    }

    /** Ends rounds that have timed out, and repeats those that had to wait for a contending proposal. */
    void onTick() {
        for (Map.Entry<String, ProposalRound> entry : List.copyOf(rounds.entrySet())) {
            ProposalRound round = entry.getValue();
            if (context.isTimedOut(round.startedAt)) {
                finish(entry.getKey(), Outcome.ABANDONED);
            } else if (context.now - round.startedAt > CONTENTION_TIMEOUT_MICROS * (1 + peers.rank())
                    && mayYield(round)) {
                finish(entry.getKey(), Outcome.DROPPED);
            } else if (round.hasVote(Vote.BUSY) && peers.isCurrent()) {
                startNextRound(round, round.proposal);
            }
        }
    }

    /**
     * Returns whether a proposal may be dropped in favour of a contending one: a quorum has answered this round without
     * having precommitted the proposal, and takes part in no lower round, so no earlier attempt can commit the
     * proposal.
     */
    private boolean mayYield(ProposalRound round) {
        if (context.fenced
                || round.proposal.precommitted()
                || !round.hasVote(Vote.BUSY)
                || round.hasVote(Vote.PRECOMMITTED)) {
            return false;
        }
        return context.quorum.isReachedBy(round.votersWithoutPrecommit());
    }
}
