package reedmux.gatekeeper.policy;

import java.util.ArrayList;
import java.util.List;
import reedmux.gatekeeper.policy.PeerPacket.AccountEntry;
import reedmux.gatekeeper.policy.PeerPacket.MemberVersion;

/**
 * Exchanges counters between this gateway and its peers, and delivers each unit once. Packets to a peer are numbered,
 * and each packet acknowledges those received from the peer. The units of a lost packet return to the counters that
 * face the peer and are sent again with the next packet. A restarted peer has a new incarnation, which numbers its
 * packets from 1.
 */
final class PeerExchange {
    /** Highest packet number with which a new incarnation is accepted without confirmation. */
    private static final int MAX_INITIAL_PACKET_NUMBER = 4;
    /** Maximum number of consecutive lost packets; a packet number further ahead is treated as corrupt. */
    private static final int MAX_PACKETS_AHEAD = 1 << 16;

    private static final long MICROS_PER_MILLI = 1000;

    private final PolicyContext context;
    private final HeapTopology topology;
    private final PeerTable peers;
    private final CustomerAccounts accounts;
    private final QuotaPolicy quotas;
    private final PeerFailureDetector failureDetector;
    private final int incarnation;
    private volatile boolean restartDetected;

    PeerExchange(
            PolicyContext context,
            HeapTopology topology,
            PeerTable peers,
            CustomerAccounts accounts,
            QuotaPolicy quotas,
            PeerFailureDetector failureDetector) {
        this.context = context;
        this.topology = topology;
        this.peers = peers;
        this.accounts = accounts;
        this.quotas = quotas;
        this.failureDetector = failureDetector;
        incarnation = context.random.nextInt(1, PeerPacket.INCARNATION_BOUND);
    }

    /** Whether a packet was addressed to an earlier incarnation of this gateway; callable from any thread. */
    boolean restartDetected() {
        return restartDetected;
    }

    // ---- Sending -------------------------------------------------------------------------------------------------
    /** Sends a peer the pending member versions and, as far as there is room, the pending account reports. */
    void send(PeerState peer) {
        List<Integer> members = peer.takePendingMembers(PeerPacketWriter.maxMembers());
        boolean replyRequested = peer.awaitingReplySince >= 0
                || !members.isEmpty()
                || !peer.pendingAccounts.isEmpty()
                || topology.isUnreachable(peer.peer);
        PeerPacketWriter packet = new PeerPacketWriter(
                peer.aliases,
                incarnation,
                peer.peerIncarnation,
                peer.acceptedBits,
                ++peer.lastSentNumber,
                peer.lastReceivedNumber,
                replyRequested,
                (int) (peers.syncInterval / MICROS_PER_MILLI),
                versionsOf(members),
                context.settings.limits().peerMessageBytes());
        List<CarriedUnits> carried = addPendingAccounts(peer, packet);
        if (!carried.isEmpty() || !members.isEmpty()) {
            peer.unacknowledged.add(new UnacknowledgedPacket(peer.lastSentNumber, carried, members));
        }
        if (replyRequested && peer.awaitingReplySince < 0) {
            peer.awaitingReplySince = context.now;
        }
        peer.replyOwedSince = -1;
        peer.sentAt = context.now;
        context.actions.sendToPeer(peer.peer, packet.finish());
    }

    private List<MemberVersion> versionsOf(List<Integer> members) {
        List<MemberVersion> versions = new ArrayList<>();
        for (int member : members) {
            versions.add(new MemberVersion(member, topology.version(member)));
        }
        return versions;
    }

    private List<CarriedUnits> addPendingAccounts(PeerState peer, PeerPacketWriter packet) {
        List<CarriedUnits> carried = new ArrayList<>();
        List<CustomerAccount> pending = new ArrayList<>(peer.pendingAccounts);
        for (int i = 0; i < pending.size() && packet.hasRoom(); i++) {
            CustomerAccount account = pending.get(i);
            peers.refresh(account);
            int slot = account.slotOf(peer.peer);
            if (slot >= 0 && account.hasUnreported(slot, quotas.reportsInFlight(account))) {
                quotas.drain(account);
                carried.add(account.report(slot, quotas.reportsInFlight(account), packet));
            }
            peer.pendingAccounts.remove(account);
        }
        return carried;
    }

    // ---- Receiving -----------------------------------------------------------------------------------------------
    /** Applies a packet entirely or not at all: corrupt, duplicate, reordered and outdated packets change nothing. */
    void onPacket(int from, byte[] bytes) {
        PeerPacket packet = PeerPacket.read(bytes);
        if (packet == null || from == context.settings.self() || from < 0 || from >= topology.size()) {
            return;
        }
        failureDetector.onMessage();
        PeerState peer = peers.get(from);
        if (!isAcceptable(peer, packet)) {
            return;
        }
        boolean restarted = peer.peerIncarnation != packet.incarnation();
        boolean recovered = topology.isUnreachable(from);
        if (recovered) { // it has missed all membership changes
            failureDetector.onReturn(from);
            peer.queueAllMembers(topology);
        }
        if (restarted) {
            beginIncarnation(peer, packet.incarnation());
        }
        if (recovered || peer.previousIncarnation != 0 && restarted) {
            requestReports(peer);
        }
        peer.syncInterval =
                Math.min(PeerFailureDetector.MAX_SYNC_MICROS, packet.syncIntervalMillis() * MICROS_PER_MILLI);
        if (packet.replyRequested() && peer.replyOwedSince < 0) {
            peer.replyOwedSince = context.now;
        }
        peer.recordReceived(packet.number());
        if (packet.receiverIncarnation() == incarnation) {
            restore(peer, peer.acknowledge(packet.acknowledgedNumber(), packet.acceptedBits()));
            peer.awaitingReplySince = peer.unacknowledged.isEmpty() ? -1 : context.now;
        } else if (packet.receiverIncarnation() != 0) {
            restartDetected = true;
            return; // addressed to our earlier incarnation; our reply announces the new one
        }
        applyContents(peer, packet);
    }

    /**
     * Whether a packet is newer than all previous ones. A new incarnation that does not begin with its initial packet
     * numbers must be confirmed by a second packet: otherwise one corrupt packet with a matching checksum would make
     * all later packets look outdated.
     */
    private static boolean isAcceptable(PeerState peer, PeerPacket packet) {
        if (packet.incarnation() == peer.previousIncarnation) {
            return false;
        }
        if (peer.peerIncarnation == packet.incarnation()) {
            return packet.number() > peer.lastReceivedNumber
                    && packet.number() <= peer.lastReceivedNumber + MAX_PACKETS_AHEAD;
        }
        if (peer.peerIncarnation != 0
                && packet.number() > MAX_INITIAL_PACKET_NUMBER
                && peer.unconfirmedIncarnation != packet.incarnation()) {
            peer.unconfirmedIncarnation = packet.incarnation();
            return false;
        }
        return true;
    }

    private void applyContents(PeerState peer, PeerPacket packet) {
        peer.acceptedBits |= 1;
        for (MemberVersion member : packet.members()) {
            peers.applyVersion(member.member(), member.version(), peer.peer);
        }
        for (AccountEntry entry : packet.entries()) {
            AccountEntry resolved = peer.aliases.resolve(entry);
            if (resolved != null && isValid(resolved)) {
                quotas.onReport(resolved, peer.peer);
            }
        }
    }

    /** Whether an entry is valid here, and its forwarded values fit into a packet. */
    private boolean isValid(AccountEntry entry) {
        return entry.plan() >= 0
                && entry.plan() < context.settings.plans().size()
                && entry.memberCount() >= 1
                && entry.memberCount() <= topology.size()
                && entry.firstMember() >= 0
                && entry.firstMember() < topology.size()
                && entry.customer() >>> PeerPacket.CUSTOMER_BITS == 0
                && (entry.inFlight() == null || entry.inFlight() >= 0);
    }

    /**
     * Starts a new incarnation of a peer, which has lost its state: everything that it had not acknowledged is sent
     * again.
     */
    private void beginIncarnation(PeerState peer, int peerIncarnation) {
        if (peer.peerIncarnation != 0) {
            restore(peer, peer.takeUnacknowledged());
        }
        peer.beginIncarnation(peerIncarnation);
        peer.queueAllMembers(topology);
    }

    /**
     * Queues full counts for a peer that has restarted, or that was unreachable and missed the units routed around it.
     */
    private void requestReports(PeerState peer) {
        for (CustomerAccount account : accounts.all()) {
            peers.refresh(account);
            int slot = account.slotOf(peer.peer);
            if (slot >= 0 && quotas.reportsCount(account)) {
                account.countRequested[slot] = true;
                peer.pendingAccounts.add(account);
            }
        }
    }

    /** Restores everything that a peer has not acknowledged, to be sent again. */
    void restoreUnacknowledged(PeerState peer) {
        restore(peer, peer.takeUnacknowledged());
    }

    private static void restore(PeerState peer, List<UnacknowledgedPacket> lost) {
        for (UnacknowledgedPacket packet : lost) {
            peer.pendingMembers.addAll(packet.members());
            for (CarriedUnits units : packet.carried()) {
                if (units.account().restoreUnits(peer.peer, units)) {
                    peer.pendingAccounts.add(units.account());
                }
            }
        }
    }
}
