package reedmux.control.consensus;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Tracks the peers whose state this node has merged, and whether this node may vote.
 *
 * <p>A node is <em>complete</em> when nothing that was acknowledged with its vote can be missing from its state. A node
 * that has lost its disk is incomplete: it votes for nothing until it has merged the state of enough complete peers
 * that every quorum contains one of them. It then has everything that was committed, and also the proposals pending at
 * those peers, because its lost vote may have helped to commit them.
 *
 * <p>A complete node is <em>current</em> while it is connected to a quorum whose state it has merged.
 */
final class PeerSynchronization {
    private final ConsensusContext context;
    /** Connected peers whose state has been merged since they connected. */
    private final Set<String> synchronizedPeers = new HashSet<>();
    /** The proposals pending at these peers; collected until this node is complete. */
    private final List<Proposal> peerProposals = new ArrayList<>();

    private boolean complete;
    /** Whether this process started without its disk and has since become complete. */
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

    /** Returns the number of synchronized peers whose IP address is less than this node's. */
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

    /**
     * Records that everything committed at a complete peer has been merged; {@code pending} are the proposals pending
     * there.
     */
    void onCompletePeer(String peer, List<Proposal> pending) {
        if (!complete) {
            peerProposals.addAll(pending);
        }
        synchronizedPeers.add(peer);
    }

    /** Marks this node as complete if it has merged enough peers; returns whether it became complete now. */
    boolean tryComplete() {
        if (complete || !context.quorum.isBlockedBy(synchronizedPeers)) {
            return false;
        }
        complete = true;
        recovered = true;
        return true;
    }

    /** Removes and returns the proposals that were pending at the peers from which this node recovered. */
    List<Proposal> takePeerProposals() {
        List<Proposal> proposals = List.copyOf(peerProposals);
        peerProposals.clear();
        return proposals;
    }

    /**
     * Removes a disconnected peer, unless this node is incomplete: what an incomplete node has merged stays merged
     * after the connection is lost.
     */
    void onPeerDisconnected(String peer) {
        if (complete) {
            synchronizedPeers.remove(peer);
        }
    }
}
