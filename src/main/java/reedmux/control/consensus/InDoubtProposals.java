package reedmux.control.consensus;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Precommitted proposals that another member of the core handed over and that can't be pending here beside what is
 * pending here. Those that are not precommitted are never in doubt: whoever has committed one has the precommitted
 * votes of a quorum, which shares a node with the quorum that hands over.
 *
 * <p>Such a proposal may have been committed by a proposer that has the other member's vote. It is in doubt until
 * each such proposer is fenced and has handed over its own state: it didn't commit the proposal before, or it would
 * have handed it over as committed, and it can't do so afterwards.
 */
final class InDoubtProposals {
    /** By proposal the nodes that may have decided on it. */
    private final Map<String, Set<String>> possibleDeciders = new HashMap<>();

    void add(String proposalId, Collection<String> proposers) {
        possibleDeciders.computeIfAbsent(proposalId, id -> new HashSet<>()).addAll(proposers);
    }

    void remove(String proposalId) {
        possibleDeciders.remove(proposalId);
    }

    void clear() {
        possibleDeciders.clear();
    }

    /** Whether the states that these fenced nodes have handed over leave nothing in doubt. */
    boolean areResolvedBy(Set<String> handedOver) {
        for (Set<String> deciders : possibleDeciders.values()) {
            if (!handedOver.containsAll(deciders)) {
                return false;
            }
        }
        return true;
    }
}
