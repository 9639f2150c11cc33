package reedmux.control.consensus;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Precommitted proposals that were handed over by another member of the core and conflict with proposals pending at
 * this node. Proposals that are not precommitted are never in doubt: a node that has committed a proposal has received
 * the precommitted votes of a quorum, which shares a node with the quorum that hands over its state.
 *
 * <p>An in-doubt proposal may have been committed by a proposer that received the other member's vote. It stays in
 * doubt until each such proposer is fenced and has handed over its own state. If that proposer had committed the
 * proposal earlier, it would have handed it over as committed, and it can't commit the proposal once it is fenced.
 */
final class InDoubtProposals {
    /** The nodes that may have decided on each proposal, by proposal ID. */
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

    /** Returns whether no proposal is in doubt after these fenced nodes have handed over their states. */
    boolean areResolvedBy(Set<String> handedOver) {
        for (Set<String> deciders : possibleDeciders.values()) {
            if (!handedOver.containsAll(deciders)) {
                return false;
            }
        }
        return true;
    }
}
