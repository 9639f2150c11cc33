package reedmux.gatekeeper.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The exchange of packets with one peer; times in microseconds, -1 while there is nothing to wait for. */
final class PeerState {
    final int peer;
    /** Accounts that are to be reported to the peer with the next packet. */
    final Set<CustomerAccount> pendingAccounts = new LinkedHashSet<>();
    /** Members whose versions are to be sent to the peer. */
    final Set<Integer> pendingMembers = new LinkedHashSet<>();

    final CustomerAliases aliases = new CustomerAliases();
    final ArrayDeque<UnacknowledgedPacket> unacknowledged = new ArrayDeque<>();
    /** The interval in which the peer wants to hear from us. */
    long syncInterval;

    long sentAt;
    long awaitingReplySince = -1;
    long replyOwedSince = -1;
    long lastSentNumber;
    /** 0 until the first packet. */
    int peerIncarnation;

    int previousIncarnation;
    long lastReceivedNumber;
    /** An incarnation that one packet has shown, and none since. */
    int unconfirmedIncarnation;
    /** Bit i tells whether the packet i before the last received one was accepted. */
    int acceptedBits;

    PeerState(int peer, long syncInterval, long now) {
        this.peer = peer;
        this.syncInterval = syncInterval;
        sentAt = now - syncInterval;
    }

    /** The peer has restarted: nothing is received yet, and no alias is known. */
    void beginIncarnation(int incarnation) {
        if (peerIncarnation != 0) {
            aliases.clear();
        }
        previousIncarnation = peerIncarnation;
        peerIncarnation = incarnation;
        lastReceivedNumber = 0;
        acceptedBits = 0;
    }

    /** Moves the window of what was accepted up to a packet just received. */
    void recordReceived(long number) {
        long steps = number - lastReceivedNumber;
        acceptedBits =
                steps >= PeerPacket.ACK_WINDOW_PACKETS ? 0 : acceptedBits << steps & PeerPacket.INCARNATION_BOUND - 1;
        lastReceivedNumber = number;
    }

    /** Returns the packets up to the highest number that were not accepted, and never will be. */
    List<UnacknowledgedPacket> acknowledge(long highest, int bits) {
        List<UnacknowledgedPacket> lost = new ArrayList<>();
        while (!unacknowledged.isEmpty() && unacknowledged.peek().number() <= highest) {
            UnacknowledgedPacket packet = unacknowledged.poll();
            long age = highest - packet.number();
            if (age < PeerPacket.ACK_WINDOW_PACKETS && (bits >>> age & 1) == 0) {
                lost.add(packet);
            } else {
                aliases.onAcknowledged(packet.number());
            }
        }
        return lost;
    }

    /** Takes all packets without an answer, which is awaited no longer. */
    List<UnacknowledgedPacket> takeUnacknowledged() {
        List<UnacknowledgedPacket> packets = new ArrayList<>(unacknowledged);
        unacknowledged.clear();
        awaitingReplySince = -1;
        return packets;
    }

    /** Queues all that is known of members for the peer. */
    void queueAllMembers(HeapTopology topology) {
        for (int member = 0; member < topology.size(); member++) {
            if (topology.version(member) > 0) {
                pendingMembers.add(member);
            }
        }
    }

    /** Takes the members that have waited longest, so many at most. */
    List<Integer> takePendingMembers(int max) {
        List<Integer> members = pendingMembers.stream().limit(max).toList();
        members.forEach(pendingMembers::remove);
        return members;
    }
}
