package reedmux.control.consensus;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** One attempt of this node to have a proposal decided, under one ballot. */
final class ProposalRound {
    final Proposal proposal;
    /** Who waits for the outcome; null in a recovery. */
    final RoundListener listener;
    /** When the first attempt of this row of attempts began, in microseconds. */
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

    /** Who has prepared the proposal. */
    Set<String> preparedVoters() {
        Set<String> prepared = new HashSet<>();
        for (Map.Entry<String, Vote> vote : votes.entrySet()) {
            if (vote.getValue().isPrepared()) {
                prepared.add(vote.getKey());
            }
        }
        return prepared;
    }

    /** Who has answered without preparing the proposal. */
    Set<String> unpreparedVoters() {
        Set<String> others = new HashSet<>(votes.keySet());
        others.removeAll(preparedVoters());
        return others;
    }

    /** Who can't prepare the proposal because of what is committed or pending there. */
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
     * Who takes part in no attempt with a lower ballot any more and has not precommitted the proposal: it has prepared
     * or refused it under this one.
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
