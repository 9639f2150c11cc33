package reedmux.control.consensus;

import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Changes the core, the machines whose stores vote, together with the other nodes.
 *
 * <p>Cores are numbered by epochs. The successor of each epoch is decided by one instance of Paxos ({@link
 * EpochProposer}, {@link EpochAcceptor}); the first live member in the order of IP addresses proposes it ({@link
 * CoreLeader}). A change has these phases: <em>prepare</em> (a quorum promises), <em>accept and fence</em> (a node that
 * accepts prepares no new proposals under the old epoch), <em>fetch</em> (the next members take over the state of a
 * quorum of fenced members), <em>install</em> (once a quorum of both cores has accepted, the next epoch starts and is
 * announced to all nodes).
 *
 * <p>Invariants: each epoch has exactly one core. When an epoch starts, a quorum of its members has everything that was
 * acknowledged under the previous epochs. A node counts only votes of its own epoch ({@link #acceptsEpoch}).
 *
 * <p>Unlike in Raft's joint consensus, the old core stops deciding during a change, which takes a few round trips, and
 * no log carries the membership.
 *
 * <p>Permanently failed members are removed automatically ({@link CoreChangePlanner}): an unreachable member is
 * replaced by a candidate, or is removed while the core stays large enough. Otherwise each replaced machine would leave
 * a dead member behind, until the remaining members no longer form a quorum.
 *
 * <p>Performs no I/O and reads no clock; actions are requested through the {@link CoreMembershipPort}. Confined to one
 * thread. Times are in microseconds of a monotonic clock and never decrease.
 */
public final class CoreMembership {
    /**
     * How long a node that has recovered from the loss of its disk doesn't vote, in microseconds. All messages sent to
     * it before the loss, whose answers might contradict its lost state, have arrived by then.
     */
    private static final long DISK_LOSS_DELAY_MICROS = 4_000_000;

    /**
     * How long a dead member may stay in the core while it could be removed, in microseconds; failed rounds are
     * repeated during this time.
     */
    private static final long MAX_DEAD_MEMBER_MICROS = 10_000_000;

    private static final long NEVER = -1;

    private final CoreContext context;
    private final EpochAcceptor acceptor;
    private final CoreChangePlanner planner;
    private final EpochProposer proposer;
    private CoreLeader leader = new CoreLeader("", -1, 0);
    /**
     * Since when this node, as the leader, could have removed a dead member, in microseconds; {@link #NEVER} if it
     * couldn't.
     */
    private long removableSince = NEVER;

    /**
     * Creates the membership from the state found on the disk.
     *
     * @param minimumReplicas the number of disks on which a decision must be stored, whatever the size of the core
     * @param storedState the state found on the disk; null if there was none and the peers announce the core
     * @param diskIntact whether no part of that state was lost
     */
    public CoreMembership(
            String self,
            int minimumReplicas,
            PersistentCoreState storedState,
            boolean diskIntact,
            CoreMembershipPort port) {
        context = new Context(self, minimumReplicas, port);
        context.mayVoteFrom = diskIntact ? Long.MIN_VALUE : Long.MAX_VALUE;
        if (storedState != null) {
            context.core = storedState.core();
            context.removed = storedState.removed();
        }
        acceptor = new EpochAcceptor(context, storedState);
        planner = new CoreChangePlanner(context);
        proposer = new EpochProposer(context, acceptor, planner);
    }

    private final class Context extends CoreContext {
        private Context(String self, int minimumReplicas, CoreMembershipPort port) {
            super(self, minimumReplicas, port);
        }

        @Override
        void send(String to, EpochMessage message) {
            if (to.equals(self)) {
                onEpochMessage(now, self, message);
            } else {
                port.sendEpochMessage(to, message);
            }
        }

        @Override
        void persist(Consumer<Boolean> onDone) {
            port.persistCore(persistentState(), onDone);
        }

        @Override
        void install(CoreMembers next) {
            CoreMembership.this.install(next);
        }
    }

    // ---- State -------------------------------------------------------------------------------------

    /** Returns the core of the latest known epoch; null if none is known yet. */
    public CoreMembers core() {
        return context.core;
    }

    /** Returns the latest known epoch; negative if none is known yet. */
    public long epoch() {
        return context.epoch();
    }

    /** Returns the quorum that decides on changes of the configuration in this epoch. */
    public Quorum quorum() {
        return context.quorum();
    }

    public boolean isMember() {
        return context.isMember();
    }

    /** Returns the IP addresses of this node and the connected nodes. */
    public Set<String> connectedIps() {
        return context.connectedIps();
    }

    /** Returns whether this node has accepted a successor and therefore prepares no new proposals under this epoch. */
    public boolean isFenced() {
        return acceptor.isFenced();
    }

    /** Returns whether this node requests to join the core once it is current. */
    public boolean isCandidate() {
        return context.core != null && !isMember() && !context.removed;
    }

    /** Returns the state to persist. */
    public PersistentCoreState persistentState() {
        return acceptor.persistentState();
    }

    /** Returns the node that proposes changes of the core, as known to this node. */
    public CoreLeader leader() {
        return leader;
    }

    public boolean isLeader() {
        return leader.ip().equals(context.self);
    }

    // ---- Peers -------------------------------------------------------------------------------------

    /** Handles a new connection to another node; {@code node} is the name of its machine. */
    public void onPeerConnected(long time, String ip, String node) {
        context.now = time;
        context.peers.put(ip, new CoreContext.CorePeer(node));
        learnNodeNames(Map.of(ip, node));
        updateLeader();
    }

    /** Handles the end of the last connection to another store. */
    public void onPeerDisconnected(long time, String ip) {
        context.now = time;
        context.peers.remove(ip);
        proposer.onPeerDisconnected(ip);
        updateLeader();
    }

    /** Records that this node has recovered from the loss of its disk; may be called repeatedly. */
    public void onDiskRecovered(long time) {
        context.mayVoteFrom = Math.min(context.mayVoteFrom, time + DISK_LOSS_DELAY_MICROS);
    }

    /**
     * Handles the announcement of the core that another process knows.
     *
     * @param announced the announced core; null if the process knows none
     * @param ready whether the process requests to join the core
     * @param fenced whether the process has accepted a successor of that core
     */
    public void onCoreAnnounced(long time, String ip, CoreMembers announced, boolean ready, boolean fenced) {
        context.now = time;
        CoreContext.CorePeer peer = context.peers.get(ip);
        if (peer != null) {
            peer.readySince = ready ? Math.min(peer.readySince, time) : Long.MAX_VALUE;
            peer.fenced = fenced && announced != null && announced.epoch() == epoch();
        }
        if (announced == null) {
            return;
        }
        if (announced.epoch() > epoch()) {
            install(announced);
        } else if (announced.epoch() < epoch()) {
            context.port.announceCore(ip);
        } else {
            learnNodeNames(announced.nodeNames());
        }
    }

    private void learnNodeNames(Map<String, String> namesByIp) {
        if (context.core == null) {
            return;
        }
        CoreMembers previousCore = context.core;
        for (Map.Entry<String, String> name : namesByIp.entrySet()) {
            context.core = context.core.withNodeName(name.getKey(), name.getValue());
        }
        if (context.core != previousCore) {
            context.persist(done -> {});
        }
    }

    /**
     * Returns whether a message was sent under this node's epoch. Otherwise this node announces its core to the sender,
     * which announces its own core in return if that is newer.
     */
    public boolean acceptsEpoch(String from, long epoch) {
        if (context.core == null) {
            return false;
        }
        if (epoch != epoch()) {
            context.port.announceCore(from);
        }
        return epoch == epoch();
    }

    /** Installs a decided core and starts its epoch. */
    private void install(CoreMembers next) {
        context.removed = (context.removed || isPermanentlyRemovedFrom(next)) && !next.contains(context.self);
        context.removalOrdered = false; // a pending order is sent again
        context.port.log("core of epoch " + next.epoch() + ": " + next.nodeNames());
        context.core = next;
        acceptor.reset();
        proposer.reset();
        for (Map.Entry<String, CoreContext.CorePeer> peer : context.peers.entrySet()) {
            peer.getValue().fenced = false;
            context.core = context.core.withNodeName(peer.getKey(), peer.getValue().node);
        }
        context.persist(done -> {});
        context.port.notifyCoreChanged();
        updateLeader();
        planner.onInstalled();
    }

    /**
     * Returns whether this node was removed by the operator, or was replaced by another machine with its name. A node
     * that was unreachable and considered dead may join again.
     */
    private boolean isPermanentlyRemovedFrom(CoreMembers next) {
        if (!isMember()) {
            return false;
        }
        String name = context.core.nodeNames().get(context.self);
        return context.removalOrdered || !name.isEmpty() && next.findIp(name) != null;
    }

    private void updateLeader() {
        String leaderIp = "";
        if (context.core != null) {
            for (String ip : context.core.ips()) {
                if (context.isUp(ip)) {
                    leaderIp = ip;
                    break;
                }
            }
        }
        if (!leaderIp.equals(leader.ip()) || leader.epoch() != epoch()) {
            leader = new CoreLeader(leaderIp, epoch(), context.now);
        }
    }

    // ---- Changes -----------------------------------------------------------------------------------

    /**
     * Handles an operator's request to remove a member. Must be called on the leader.
     *
     * @param node the name or the IP address of the machine
     * @param reply receives once an {@link OperationStatus}, and a message or JSON for the operator
     */
    public void requestRemoval(long time, String node, BiConsumer<Integer, String> reply) {
        context.now = time;
        if (context.core == null || !isLeader() || !quorum().isReachedBy(context.connectedIps())) {
            reply.accept(OperationStatus.UNAVAILABLE, "too few of the core can be reached");
        } else if (planner.requestRemoval(node, reply)) {
            onTick(time);
        }
    }

    /** Handles the leader's notice that the operator has ordered the removal of this node. */
    public void onRemovalOrder() {
        context.removalOrdered = true;
    }

    /**
     * Continues changes that are in progress and starts those that are wanted. Must be called several times a second.
     */
    public void onTick(long time) {
        context.now = time;
        updateLeader();
        planner.expireRemovals();
        if (context.core != null) {
            context.unreachableMembers.update(context);
            acceptor.requestHandovers();
            proposer.onTick(isLeader());
            checkDeadMembersAreRemoved();
        }
    }

    /**
     * Reports an invariant violation if the leader could have changed the core for {@link #MAX_DEAD_MEMBER_MICROS} and
     * dead members are still in it.
     */
    private void checkDeadMembersAreRemoved() {
        boolean couldRemove = isLeader() && context.mayVote() && planner.deadMemberToRemove() != null;
        if (!couldRemove) {
            removableSince = NEVER;
        } else if (removableSince == NEVER) {
            removableSince = context.now;
        } else if (context.now - removableSince > MAX_DEAD_MEMBER_MICROS) {
            context.port.reportInvariantViolation("dead members remain in a core that is large enough without them: "
                    + planner.deadMemberToRemove() + " of " + context.core.nodeNames());
            removableSince = NEVER;
        }
    }

    /** Handles a message of a Paxos round. */
    public void onEpochMessage(long time, String from, EpochMessage message) {
        context.now = time;
        if (!acceptsEpoch(from, message.epoch())) {
            return;
        }
        switch (message.type()) {
            case PREPARE -> acceptor.onPrepare(from, message);
            case ACCEPT -> acceptor.onAccept(from, message);
            case PROMISE -> proposer.onPromise(from, message);
            case ACCEPTED -> proposer.onAccepted(from, message);
            default -> proposer.onRejected(message.ballot());
        }
    }

    // ---- Handover ----------------------------------------------------------------------------------

    /**
     * Returns whether this node's state under that epoch is final and may be handed over to a member of the next core.
     */
    public boolean maySendHandover(String to, long epoch) {
        return acceptsEpoch(to, epoch) && isMember() && acceptor.isFencedOnDisk() && context.mayVote();
    }

    /** Handles the completed transfer of a fenced member's state under that epoch, including its pending proposals. */
    public void onHandover(long time, String from, long epoch) {
        context.now = time;
        if (epoch == epoch() && context.core.contains(from)) {
            acceptor.onHandover(from);
        }
    }
}
