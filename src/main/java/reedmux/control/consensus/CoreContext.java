package reedmux.control.consensus;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** State shared by the components of one {@link CoreMembership}. Confined to the thread that calls the membership. */
abstract class CoreContext {
    final String self;
    final int minimumReplicas;
    final CoreMembershipPort port;
    /** The core of the latest known epoch; null if none is known. */
    CoreMembers core;
    /** Whether this node was a member and was removed permanently, so that it doesn't request to join. */
    boolean removed;
    /** Whether the leader has notified this node that the operator has ordered its removal. */
    boolean removalOrdered;
    /** The members that are unreachable from this node. */
    final UnreachableMembers unreachableMembers = new UnreachableMembers();
    /** The connected nodes by IP address. */
    final Map<String, CorePeer> peers = new LinkedHashMap<>();
    /**
     * The earliest time at which this node may promise and accept as a member, in microseconds; {@link Long#MAX_VALUE}
     * while it has lost its disk and not recovered.
     */
    long mayVoteFrom;
    /** The time of the event that is being handled, in microseconds of a monotonic clock. */
    long now;

    /** A connected node. */
    static final class CorePeer {
        final String node;
        /** Since when the node has requested to join, in microseconds; {@link Long#MAX_VALUE} while it doesn't. */
        long readySince = Long.MAX_VALUE;
        /** Whether the node has accepted a successor of this node's epoch. */
        boolean fenced;

        CorePeer(String node) {
            this.node = node;
        }
    }

    CoreContext(String self, int minimumReplicas, CoreMembershipPort port) {
        this.self = self;
        this.minimumReplicas = minimumReplicas;
        this.port = port;
    }

    long epoch() {
        return core == null ? -1 : core.epoch();
    }

    boolean isMember() {
        return core != null && core.contains(self);
    }

    Quorum quorum() {
        return Quorum.of(core == null ? Set.of() : core.ips(), minimumReplicas);
    }

    /**
     * Returns the quorum for a change to {@code next}: a quorum of the current members and a quorum of the next
     * members.
     */
    Quorum jointQuorum(CoreMembers next) {
        Collection<String> members = core.ips();
        return Quorum.joint(members, next.ips(), minimumReplicas);
    }

    /** Returns the IP addresses of this node and the connected nodes. */
    Set<String> connectedIps() {
        Set<String> live = new HashSet<>(peers.keySet());
        live.add(self);
        return live;
    }

    boolean isUp(String ip) {
        return ip.equals(self) || peers.containsKey(ip);
    }

    boolean mayVote() {
        return now >= mayVoteFrom;
    }

    /** Sends a message of a Paxos round; the receiver may be this node. */
    abstract void send(String to, EpochMessage message);

    /** Persists the core together with the promised ballot and the accepted value. */
    abstract void persist(Consumer<Boolean> onDone);

    /** Installs the decided core of the next epoch. */
    abstract void install(CoreMembers next);
}
