package reedmux.control.consensus;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Whose state is merged here, and whether this node may count itself.
 *
 * <p>A node is <em>complete</em> when nothing that was acknowledged with its vote can be missing here. A node that
 * has lost its disk is not: it votes for nothing until it has merged the state of so many complete peers that every
 * quorum contains one of them. Then it has everything committed, and also the proposals pending at those peers,
 * because its lost vote may have helped to commit them.
 *
 * <p>A complete node is <em>current</em> while it is connected to a quorum whose state it has merged.
 */
final class PeerSynchronization {
    private final ConsensusContext context;
    /** Connected peers whose state has been merged since they connected. */
    private final Set<String> synchronizedPeers = new HashSet<>();
    /** What was pending at these peers, until this node is complete. */
    private final List<Proposal> peerProposals = new ArrayList<>();

    private boolean complete;
    /** Whether this process began without its disk and has become complete since. */
    private boolean recovered;

    PeerSynchronization(ConsensusContext context, boolean complete) {
        this.context = context;
        this.complete = complete;
    }

    boolean isComplete() {
        return complete;
    }

    boolean isCurrent() {
        if (!complete) {
            return false;
        }
        Set<String> reachable = new HashSet<>(synchronizedPeers);
        reachable.add(context.self);
        return context.quorum.isReachedBy(reachable);
    }

    /** How many of the connected peers come before this node in the order of their names. */
    long rank() {
        return synchronizedPeers.stream()
                .filter(peer -> peer.compareTo(context.self) < 0)
                .count();
    }

    void onQuorumChanged() {
        if (recovered) {
            complete = context.quorum.isBlockedBy(synchronizedPeers);
        }
    }

    /** All that is committed at a complete peer has been merged, and that is pending there. */
    void onCompletePeer(String peer, List<Proposal> pending) {
        if (!complete) {
            peerProposals.addAll(pending);
        }
        synchronizedPeers.add(peer);
    }

    /** Makes this node complete if it can be now; returns whether it has become so. */
    boolean tryComplete() {
        if (complete || !context.quorum.isBlockedBy(synchronizedPeers)) {
            return false;
        }
        complete = true;
        recovered = true;
        return true;
    }

    /** What was pending at the peers that made this node complete; returned once. */
    List<Proposal> takePeerProposals() {
        List<Proposal> proposals = List.copyOf(peerProposals);
        peerProposals.clear();
        return proposals;
    }

    /** An incomplete node goes on counting what it has merged: that does not get lost with the connection. */
    void onPeerDisconnected(String peer) {
        if (complete) {
            synchronizedPeers.remove(peer);
        }
    }
}
