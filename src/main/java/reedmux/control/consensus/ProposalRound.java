package reedmux.control.consensus;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** One attempt of this node, under one ballot, to get a proposal decided. */
final class ProposalRound {
    final Proposal proposal;
    /** Receives the outcome; null for a recovery. */
    final RoundListener listener;
    /** The start time of the first in this series of attempts, in microseconds. */
    final long startedAt;

    private final Map<String, Vote> votes = new HashMap<>();

    ProposalRound(Proposal proposal, RoundListener listener, long startedAt) {
        this.proposal = proposal;
        this.listener = listener;
        this.startedAt = startedAt;
    }

    void recordVote(String voter, Vote vote) {
        votes.put(voter, vote);
    }

    boolean hasVote(Vote vote) {
        return votes.containsValue(vote);
    }

    /** Returns the nodes that have prepared the proposal. */
    Set<String> preparedVoters() {
        Set<String> prepared = new HashSet<>();
        for (Map.Entry<String, Vote> vote : votes.entrySet()) {
            if (vote.getValue().isPrepared()) {
                prepared.add(vote.getKey());
            }
        }
        return prepared;
    }

    /** Returns the nodes that have answered without preparing the proposal. */
    Set<String> unpreparedVoters() {
        Set<String> others = new HashSet<>(votes.keySet());
        others.removeAll(preparedVoters());
        return others;
    }

    /** Returns the nodes that can't prepare the proposal because of their committed items or pending proposals. */
    Set<String> refusingVoters() {
        Set<String> refused = new HashSet<>();
        for (Map.Entry<String, Vote> vote : votes.entrySet()) {
            if (vote.getValue() == Vote.BUSY || vote.getValue() == Vote.INVALID) {
                refused.add(vote.getKey());
            }
        }
        return refused;
    }

    /**
     * Returns the nodes that no longer take part in any attempt with a lower ballot and have not precommitted the
     * proposal: each has prepared or refused it under this ballot.
     */
    Set<String> votersWithoutPrecommit() {
        Set<String> answered = refusingVoters();
        for (Map.Entry<String, Vote> vote : votes.entrySet()) {
            if (vote.getValue() == Vote.PREPARED) {
                answered.add(vote.getKey());
            }
        }
        return answered;
    }

    @Override
    public String toString() {
        return proposal.id() + ' ' + votes;
    }
}
