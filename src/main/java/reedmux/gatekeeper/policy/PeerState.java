package reedmux.gatekeeper.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** State of the packet exchange with one peer; times are in microseconds, -1 while nothing is pending. */
final class PeerState {
    final int peer;
    /** Accounts to report to the peer with the next packet. */
    final Set<CustomerAccount> pendingAccounts = new LinkedHashSet<>();
    /** Members whose versions are to be sent to the peer. */
    final Set<Integer> pendingMembers = new LinkedHashSet<>();

    final CustomerAliases aliases = new CustomerAliases();
    final ArrayDeque<UnacknowledgedPacket> unacknowledged = new ArrayDeque<>();
    /** Interval at which the peer wants to receive packets. */
    long syncInterval;

    long sentAt;
    long awaitingReplySince = -1;
    long replyOwedSince = -1;
    long lastSentNumber;
    /** The peer's incarnation; 0 until its first packet has been received. */
    int peerIncarnation;

    int previousIncarnation;
    long lastReceivedNumber;
    /** A new incarnation that only one packet has shown so far. */
    int unconfirmedIncarnation;
    /** Bit i is set if the packet i before the last received one was accepted. */
    int acceptedBits;

    PeerState(int peer, long syncInterval, long now) {
        this.peer = peer;
        this.syncInterval = syncInterval;
        sentAt = now - syncInterval;
    }

    /** Starts a new incarnation of the peer: no packet has been received from it, and no alias is known. */
    void beginIncarnation(int incarnation) {
        if (peerIncarnation != 0) {
            aliases.clear();
        }
        previousIncarnation = peerIncarnation;
        peerIncarnation = incarnation;
        lastReceivedNumber = 0;
        acceptedBits = 0;
    }

    /** Advances the window of accepted packets to a packet that was just received. */
    void recordReceived(long number) {
        long steps = number - lastReceivedNumber;
        acceptedBits =
                steps >= PeerPacket.ACK_WINDOW_PACKETS ? 0 : acceptedBits << steps & PeerPacket.INCARNATION_BOUND - 1;
        lastReceivedNumber = number;
    }

    /**
     * Processes an acknowledgement. Returns the packets up to {@code highest} that were not accepted and never will be.
     */
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

    /** Removes and returns all unacknowledged packets; a reply to them is no longer awaited. */
    List<UnacknowledgedPacket> takeUnacknowledged() {
        List<UnacknowledgedPacket> packets = new ArrayList<>(unacknowledged);
        unacknowledged.clear();
        awaitingReplySince = -1;
        return packets;
    }

    /** Queues the versions of all members that have changed, to be sent to the peer. */
    void queueAllMembers(HeapTopology topology) {
        for (int member = 0; member < topology.size(); member++) {
            if (topology.version(member) > 0) {
                pendingMembers.add(member);
            }
        }
    }

    /** Removes and returns the members that have been pending longest, at most {@code max} of them. */
    List<Integer> takePendingMembers(int max) {
        List<Integer> members = pendingMembers.stream().limit(max).toList();
        members.forEach(pendingMembers::remove);
        return members;
    }
}
