package reedmux.control.consensus;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the highest ballot that this node has seen for each proposal, and the proposals that are known to be dropped.
 *
 * <p>Invariant: once a node has taken part in one attempt at a proposal, it takes part in no attempt with a lower
 * ballot. An attempt that a quorum has answered can therefore rule out that any earlier attempt still commits the
 * proposal.
 */
final class BallotHistory {
    /**
     * How long the ballot of a proposal that is not pending is retained. A connection is closed before it has been
     * silent for this long, so no message with a lower ballot can arrive afterwards.
     */
    private static final long BALLOT_RETENTION_MICROS = 10_000_000;
    /**
     * Maximum number of dropped proposals that are retained. They are retained because a node that was disconnected may
     * propose them again; the limit bounds the memory they use.
     */
    private static final int MAX_DROPPED_PROPOSALS = 4096;

    private final ConsensusContext context;
    private final Map<String, Ballot> highestBallots = new HashMap<>();
    /** The time at which each ballot was last seen, in microseconds, in ascending order. */
    private final Map<String, Long> lastSeenAt = new LinkedHashMap<>();
    /** Ordered from the oldest to the newest. */
    private final Set<String> droppedProposals = new LinkedHashSet<>();

    BallotHistory(ConsensusContext context) {
        this.context = context;
    }

    void record(String proposalId, Ballot ballot) {
        Ballot highest = highestBallots.get(proposalId);
        if (highest == null || ballot.compareTo(highest) > 0) {
            highestBallots.put(proposalId, ballot);
        }
        lastSeenAt.remove(proposalId); // moves the entry to the end
        lastSeenAt.put(proposalId, context.now);
    }

    /** Returns whether an attempt with a higher ballot has been seen. */
    boolean isSuperseded(String proposalId, Ballot ballot) {
        Ballot highest = highestBallots.get(proposalId);
        return highest != null && ballot.compareTo(highest) < 0;
    }

    /** Returns the proposal with a ballot of this node that is higher than any ballot seen for it. */
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

    /** Discards ballots past their retention time, and the oldest dropped proposals beyond the limit. */
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
