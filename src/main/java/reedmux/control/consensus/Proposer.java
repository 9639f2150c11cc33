package reedmux.control.consensus;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import reedmux.control.configuration.ConfigurationItem;

/**
 * The proposer of a node: brings proposals to a decision in rounds.
 *
 * <p>A proposal takes two rounds, as in three-phase commit. In the first, a quorum prepares it on its disks. In the
 * second, under a higher ballot, a quorum marks it as precommitted. Then it is committed and everybody is told.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>A committed proposal is precommitted on the disks of a quorum. A recovery therefore finds it and completes it;
 *       it never drops it.
 *   <li>A proposal is dropped only under a ballot for which no attempt, earlier or under way, can still commit it: a
 *       quorum can't be reached without a node that refuses it under this ballot, or one of its revisions was
 *       committed with another content.
 *   <li>Where a voter has something pending that contends with the proposal, that is decided first, so that of two
 *       proposals which contend at most one is committed.
 * </ul>
 */
final class Proposer {
    /**
     * How long two proposals that contend, and of which neither can be committed, wait before one yields; a multiple
     * of it by rank, so that they don't both yield.
     */
    private static final long CONTENTION_TIMEOUT_MICROS = 200_000;

    /** How a proposal's rounds end. */
    private enum Outcome {
        COMMITTED,
        /** No attempt can commit it any more. */
        DROPPED,
        /** Another attempt may still commit it. */
        ABANDONED
    }

    private final ConsensusContext context;
    private final PeerSynchronization peers;
    private final BallotHistory ballots;
    private final Acceptor acceptor;
    private final Learner learner;
    /** The latest round of each proposal that this node tries to have decided. */
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

    /** Begins the first round of a proposal; {@code listener} may be null. */
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

    /** Votes counted under another quorum are void: all rounds begin again. */
    void restartAll() {
        for (ProposalRound round : List.copyOf(rounds.values())) {
            startNextRound(round, round.proposal);
        }
    }

    /** A vote has come in. While the core is being changed nothing is decided; rounds begin again after it. */
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
            return; // what contends with it there is decided first
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

    /** Ends rounds that have taken too long, and repeats those that had to wait for another proposal. */
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
     * Whether a proposal that contends with another may be dropped in its favour: a quorum has answered this round
     * without having precommitted the proposal and takes part in no lower one, so no earlier attempt can commit it.
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
