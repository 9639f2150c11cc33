package reedmux.control.consensus;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** What the parts of one {@link CoreMembership} share. Confined to the thread that calls the membership. */
abstract class CoreContext {
    final String self;
    final int minimumReplicas;
    final CoreMembershipPort port;
    /** The core of the latest epoch known; null where none is. */
    CoreMembers core;
    /** Whether this node was a member and was taken out by order, so that it doesn't ask to join. */
    boolean removed;
    /** Whether the leader has told this node that it is to be removed by order. */
    boolean removalOrdered;
    /** Which members this node can't reach. */
    final UnreachableMembers unreachableMembers = new UnreachableMembers();
    /** The other nodes that are connected, by ip. */
    final Map<String, CorePeer> peers = new LinkedHashMap<>();
    /**
     * From when on this node may promise and accept as a member, in microseconds. Later than ever while it has lost
     * its disk and not recovered.
     */
    long mayVoteFrom;
    /** The time of the event that is being handled, in microseconds of a monotonic clock. */
    long now;

    /** Another node that is connected. */
    static final class CorePeer {
        final String node;
        /** Since when it has asked to join; the latest time there is while it doesn't. */
        long readySince = Long.MAX_VALUE;
        /** Whether it has accepted a successor of our epoch. */
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

    /** Who decides on a change to {@code next}: a quorum of the members and one of those after it. */
    Quorum jointQuorum(CoreMembers next) {
        Collection<String> members = core.ips();
        return Quorum.joint(members, next.ips(), minimumReplicas);
    }

    /** This node and the connected ones. */
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

    /** Sends a message of a round, also to this node itself. */
    abstract void send(String to, EpochMessage message);

    /** Writes the core, and what was promised and accepted, to the disk. */
    abstract void persist(Consumer<Boolean> onDone);

    /** The core of the next epoch is decided on. */
    abstract void install(CoreMembers next);
}
