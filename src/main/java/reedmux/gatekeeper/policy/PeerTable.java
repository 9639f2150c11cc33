package reedmux.gatekeeper.policy;

import java.util.ArrayList;
import java.util.List;

/** The gateways that this one exchanges counters with, and which of a customer's are its neighbours in the heap. */
final class PeerTable {
    /** In place of a member's number: no peer is left out. */
    static final int NO_PEER = -1;

    /** Over how many synchronisations the mean lateness is taken. */
    private static final int LATENESS_SAMPLES = 16;

    /** A higher version comes from a spoilt packet: no member lives through so many changes. */
    private static final int MAX_VERSION = 1 << 30;

    private final PolicyContext context;
    private final HeapTopology topology;
    private final PeerState[] byMember;
    private final List<PeerState> peers = new ArrayList<>();
    /** The interval in which this gateway wants to hear from each neighbour, in microseconds; the paper's Δs. */
    long syncInterval;
    /** How late synchronisations are in the mean, in microseconds, and when the next one is due; 0 before the first. */
    private long lateness;

    private long nextSyncAt;

    PeerTable(PolicyContext context, HeapTopology topology) {
        this.context = context;
        this.topology = topology;
        byMember = new PeerState[topology.size()];
    }

    /** All peers that there has been anything to tell or to hear from, in the order of their first contact. */
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

    /** Queues the account to be reported to its neighbours, all but one, with the next packet. */
    void markPending(CustomerAccount account, int exceptFor) {
        for (int slot = 0; slot < CustomerAccount.SLOTS; slot++) {
            int peer = account.neighbour(slot);
            if (peer >= 0 && peer != exceptFor) {
                get(peer).pendingAccounts.add(account);
            }
        }
    }

    /** Brings an account's neighbours up to the present view of who is reachable. */
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

    /** Has what waits for a peer that is silent now go to those who take its place. */
    private void reassignPending(PeerState unreachablePeer) {
        List<CustomerAccount> reassigned = new ArrayList<>(unreachablePeer.pendingAccounts);
        unreachablePeer.pendingAccounts.clear();
        reassigned.forEach(this::refresh);
    }

    /** A synchronisation begins now, and the next one follows after the interval. */
    void onSynchronisation() {
        long late = nextSyncAt == 0 ? 0 : Math.max(0, context.now - nextSyncAt);
        lateness += (late - lateness) / LATENESS_SAMPLES;
        nextSyncAt = context.now + syncInterval;
    }

    /** How late this gateway is with what it sends, in the mean or right now. */
    long lateness() {
        return nextSyncAt == 0 ? 0 : Math.max(lateness, context.now - nextSyncAt);
    }

    /** Asks the neighbours in the heap of all gateways for what they have counted: a new process knows nothing. */
    void requestCounts() {
        for (int member : topology.neighbours(0, topology.size())) {
            if (member >= 0) {
                get(member).pendingMembers.add(context.settings.self());
            }
        }
    }

    /** Takes in how often a member has changed; as the higher version wins, no rumour goes round. */
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
            applyVersion(member, version + (version & 1), NO_PEER); // we are not silent
        } else if (changed) {
            topology.advanceRevision();
            PeerState peer = byMember[member];
            if (peer != null && unreachable) {
                peer.awaitingReplySince = -1; // what it may yet have taken in counts twice if it goes another way
                reassignPending(peer); // what waits goes to those who take its place
            }
        }
    }
}
