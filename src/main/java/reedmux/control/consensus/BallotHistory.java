package reedmux.control.consensus;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The highest ballot that this node has seen of each proposal, and the proposals it knows to be dropped.
 *
 * <p>Invariant: once a node has taken part in one attempt at a proposal, it takes part in none with a lower ballot.
 * So an attempt that a quorum has answered can rule out that any earlier attempt still commits the proposal.
 */
final class BallotHistory {
    /**
     * How long the ballot of a proposal that is not pending is remembered. No connection is silent for longer
     * without being closed, so no message with a lower ballot can arrive after it.
     */
    private static final long BALLOT_RETENTION_MICROS = 10_000_000;
    /** Dropped proposals are remembered as a node that was away may propose them again: bounds their memory. */
    private static final int MAX_DROPPED_PROPOSALS = 4096;

    private final ConsensusContext context;
    private final Map<String, Ballot> highestBallots = new HashMap<>();
    /** When each of them was seen last, the latest at the end. */
    private final Map<String, Long> lastSeenAt = new LinkedHashMap<>();
    /** The oldest first. */
    private final Set<String> droppedProposals = new LinkedHashSet<>();

    BallotHistory(ConsensusContext context) {
        this.context = context;
    }

    void record(String proposalId, Ballot ballot) {
        Ballot highest = highestBallots.get(proposalId);
        if (highest == null || ballot.compareTo(highest) > 0) {
            highestBallots.put(proposalId, ballot);
        }
        lastSeenAt.remove(proposalId); // so that it is put at the end
        lastSeenAt.put(proposalId, context.now);
    }

    /** Whether an attempt with a higher ballot has been seen. */
    boolean isSuperseded(String proposalId, Ballot ballot) {
        Ballot highest = highestBallots.get(proposalId);
        return highest != null && ballot.compareTo(highest) < 0;
    }

    /** The proposal under a ballot of this node that is higher than any it has seen. */
    Proposal withHigherBallot(Proposal proposal) {
        Ballot highest = highestBallots.getOrDefault(proposal.id(), proposal.ballot());
        return proposal.withBallot(new Ballot(highest.number() + 1, context.self));
    }

    void recordDropped(String proposalId) {
        droppedProposals.add(proposalId);
    }

    boolean isDropped(String proposalId) {
        return droppedProposals.contains(proposalId);
    }

    /** Forgets what can't matter any more. */
    void expireOldEntries() {
        Iterator<Map.Entry<String, Long>> oldest = lastSeenAt.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<String, Long> entry = oldest.next();
            if (context.now - entry.getValue() < BALLOT_RETENTION_MICROS) {
                break;
            }
            if (!context.replica.isPending(entry.getKey())) {
                oldest.remove();
                highestBallots.remove(entry.getKey());
            }
        }
        Iterator<String> oldestDropped = droppedProposals.iterator();
        while (droppedProposals.size() > MAX_DROPPED_PROPOSALS) {
            oldestDropped.next();
            oldestDropped.remove();
        }
    }
}
