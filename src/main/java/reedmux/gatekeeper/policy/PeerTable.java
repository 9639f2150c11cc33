package reedmux.gatekeeper.policy;

import java.util.ArrayList;
import java.util.List;

/** The gateways that this one exchanges counters with, and the assignment of accounts to their heap neighbours. */
final class PeerTable {
    /** In place of a member number: the origin is this gateway, or no peer is excluded. */
    static final int NO_PEER = -1;

    /** Number of synchronisations over which lateness is averaged. */
    private static final int LATENESS_SAMPLES = 16;

    /** A higher version indicates a corrupt packet: no member changes its state that often. */
    private static final int MAX_VERSION = 1 << 30;

    private final PolicyContext context;
    private final HeapTopology topology;
    private final PeerState[] byMember;
    private final List<PeerState> peers = new ArrayList<>();
    /**
     * Interval at which this gateway wants to receive packets from each neighbour, in microseconds; Δs in the
     * propagation time of {@link QuotaPolicy}.
     */
    long syncInterval;
    /** Mean lateness of synchronisations, and when the next one is due, in microseconds; 0 before the first. */
    private long lateness;

    private long nextSyncAt;

    PeerTable(PolicyContext context, HeapTopology topology) {
        this.context = context;
        this.topology = topology;
        byMember = new PeerState[topology.size()];
    }

    /** Returns all peers that this gateway has exchanged anything with, in the order of first contact. */
    List<PeerState> all() {
        return peers;
    }

    PeerState get(int member) {
        if (byMember[member] == null) {
            byMember[member] = new PeerState(member, syncInterval, context.now);
            peers.add(byMember[member]);
        }
        return byMember[member];
    }

    /** Queues an account's report to all neighbours but {@code exceptFor}, to be sent with the next packet. */
    void markPending(CustomerAccount account, int exceptFor) {
        for (int slot = 0; slot < CustomerAccount.SLOTS; slot++) {
            int peer = account.neighbour(slot);
            if (peer >= 0 && peer != exceptFor) {
                get(peer).pendingAccounts.add(account);
            }
        }
    }

    /** Updates an account's neighbours to the current reachability of members. */
    void refresh(CustomerAccount account) {
        if (account.membershipView == topology.revision()) {
            return;
        }
        account.membershipView = topology.revision();
        account.unreachableShare = topology.unreachableShare(account.firstMember, account.memberCount);
        int[] neighbours = topology.neighbours(account.firstMember, account.memberCount);
        if (!account.hasNeighbours(neighbours)) {
            account.rewire(neighbours);
            markPending(account, NO_PEER);
        }
    }

    /** Redirects the reports pending for an unreachable peer to the neighbours that replace it. */
    private void reassignPending(PeerState unreachablePeer) {
        List<CustomerAccount> reassigned = new ArrayList<>(unreachablePeer.pendingAccounts);
        unreachablePeer.pendingAccounts.clear();
        reassigned.forEach(this::refresh);
    }

    /** Records that a synchronisation starts now and that the next one is due after the interval. */
    void onSynchronisation() {
        long late = nextSyncAt == 0 ? 0 : Math.max(0, context.now - nextSyncAt);
        lateness += (late - lateness) / LATENESS_SAMPLES;
        nextSyncAt = context.now + syncInterval;
    }

    /** Returns how late this gateway sends, in microseconds: on average, or right now if that is more. */
    long lateness() {
        return nextSyncAt == 0 ? 0 : Math.max(lateness, context.now - nextSyncAt);
    }

    /** Requests the counts of the neighbours in the heap of all gateways, because a new process has none. */
    void requestCounts() {
        for (int member : topology.neighbours(0, topology.size())) {
            if (member >= 0) {
                get(member).pendingMembers.add(context.settings.self());
            }
        }
    }

    /** Applies a member's version. As the higher version wins, outdated versions do not circulate. */
    void applyVersion(int member, int version, int from) {
        if (member < 0 || member >= topology.size() || version <= topology.version(member) || version > MAX_VERSION) {
            return;
        }
        boolean unreachable = HeapTopology.isUnreachableVersion(version);
        boolean changed = unreachable != topology.isUnreachable(member);
        topology.setVersion(member, version);
        for (PeerState peer : peers) {
            if (peer.peer != from && peer.peer != member && !topology.isUnreachable(peer.peer)) {
                peer.pendingMembers.add(member);
            }
        }
        if (member == context.settings.self()) {
            applyVersion(member, version + (version & 1), NO_PEER); // refutes that this gateway is unreachable
        } else if (changed) {
            topology.advanceRevision();
            PeerState peer = byMember[member];
            if (peer != null && unreachable) {
                peer.awaitingReplySince = -1; // units it may have received would count twice by another route
                reassignPending(peer);
            }
        }
    }
}
