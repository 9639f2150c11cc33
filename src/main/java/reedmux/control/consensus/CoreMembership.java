package reedmux.control.consensus;

import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * One node's part in changing the core, the machines whose stores decide.
 *
 * <p>Cores are numbered by epochs. The successor of each epoch is one decision by Paxos ({@link EpochProposer},
 * {@link EpochAcceptor}); the first live member in the order of ips proposes it ({@link CoreLeader}). A change goes
 * through these phases: <em>prepare</em> (a quorum promises), <em>accept and fence</em> (who accepts prepares nothing
 * new under the old epoch), <em>fetch</em> (the next members take over what a quorum of fenced ones has),
 * <em>install</em> (once a quorum of both cores has accepted, the next epoch begins and is announced to all).
 *
 * <p>Invariants: for each epoch there is one core. When an epoch begins, a quorum of its members has everything that
 * was acknowledged under the epochs before. A node counts votes under its own epoch alone ({@link #acceptsEpoch}).
 *
 * <p>It differs from Raft's joint consensus in that the old core stops deciding during a change, which takes a few
 * round trips, and in that no log carries the membership.
 *
 * <p>Members that are gone for good leave by themselves ({@link CoreChangePlanner}): a member that is out of reach
 * gives its place to who joins, or is removed while the core stays large enough. Otherwise each machine that is
 * replaced would leave a member behind, until those that are left are no quorum any more.
 *
 * <p>Pure: no I/O, no clock; what is to be done goes to the {@link CoreMembershipPort}. Confined to one thread. Times
 * are in microseconds of a monotonic clock and never go back.
 */
public final class CoreMembership {
    /**
     * How long a node that has recovered from the loss of its disk doesn't vote yet: all that it was sent before the
     * loss, and might answer in contradiction to what it has forgotten, has come in by then.
     */
    private static final long DISK_LOSS_DELAY_MICROS = 4_000_000;

    /** How long a dead member may stay while it could be removed; rounds that fail are repeated meanwhile. */
    private static final long MAX_DEAD_MEMBER_MICROS = 10_000_000;

    private static final long NEVER = -1;

    private final CoreContext context;
    private final EpochAcceptor acceptor;
    private final CoreChangePlanner planner;
    private final EpochProposer proposer;
    private CoreLeader leader = new CoreLeader("", -1, 0);
    /** Since when this node as the leader could remove a dead member. */
    private long removableSince = NEVER;

    /**
     * Begins with what was found on the disk.
     *
     * @param minimumReplicas on how many disks a decision has to be, whatever the size of the core
     * @param storedState what was on the disk; null where nothing was and the peers are to tell of the core
     * @param diskIntact whether nothing of it was lost
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

    /** The core of the latest epoch that is known; null where none is known yet. */
    public CoreMembers core() {
        return context.core;
    }

    /** The latest epoch that is known; negative where none is known yet. */
    public long epoch() {
        return context.epoch();
    }

    /** Who decides on changes of the configuration under this epoch. */
    public Quorum quorum() {
        return context.quorum();
    }

    public boolean isMember() {
        return context.isMember();
    }

    /** The ips of this node and of those that are connected. */
    public Set<String> connectedIps() {
        return context.connectedIps();
    }

    /** Whether a successor was accepted here, so that nothing new is prepared under this epoch. */
    public boolean isFenced() {
        return acceptor.isFenced();
    }

    /** Whether this node would join the core, once it is current. */
    public boolean isCandidate() {
        return context.core != null && !isMember() && !context.removed;
    }

    /** What has to be on the disk. */
    public PersistentCoreState persistentState() {
        return acceptor.persistentState();
    }

    /** Who proposes changes of the core, as far as is known here. */
    public CoreLeader leader() {
        return leader;
    }

    public boolean isLeader() {
        return leader.ip().equals(context.self);
    }

    // ---- Peers -------------------------------------------------------------------------------------

    /** A connection with another node is up; {@code node} is the name of its machine. */
    public void onPeerConnected(long time, String ip, String node) {
        context.now = time;
        context.peers.put(ip, new CoreContext.CorePeer(node));
        learnNodeNames(Map.of(ip, node));
        updateLeader();
    }

    /** The last connection with another store has ended. */
    public void onPeerDisconnected(long time, String ip) {
        context.now = time;
        context.peers.remove(ip);
        proposer.onPeerDisconnected(ip);
        updateLeader();
    }

    /** This node has recovered from the loss of its disk; may be told again. */
    public void onDiskRecovered(long time) {
        context.mayVoteFrom = Math.min(context.mayVoteFrom, time + DISK_LOSS_DELAY_MICROS);
    }

    /**
     * Another process announces the core that it knows.
     *
     * @param announced null where it knows none
     * @param ready whether it would join the core
     * @param fenced whether it has accepted a successor of that core
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
     * Whether a message was sent under this node's epoch. Who acts under another one is told of the core known here,
     * and tells of its own if that is newer.
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

    /** Begins the epoch of a core that is decided on. */
    private void install(CoreMembers next) {
        context.removed = (context.removed || isPermanentlyRemovedFrom(next)) && !next.contains(context.self);
        context.removalOrdered = false; // an order that is still pending is sent again
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
     * Whether this node was removed by order, or another machine of its name has its place. Who was out of reach and
     * taken for dead may join again.
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
     * The operator removes a member; to be asked of the leader.
     *
     * @param node the name or the ip of its machine
     * @param reply is told once an {@link OperationStatus} and a line, or JSON, for the operator
     */
    public void requestRemoval(long time, String node, BiConsumer<Integer, String> reply) {
        context.now = time;
        if (context.core == null || !isLeader() || !quorum().isReachedBy(context.connectedIps())) {
            reply.accept(OperationStatus.UNAVAILABLE, "too few of the core can be reached");
        } else if (planner.requestRemoval(node, reply)) {
            onTick(time);
        }
    }

    /** The leader tells this node that it is to be removed by order of the operator. */
    public void onRemovalOrder() {
        context.removalOrdered = true;
    }

    /** To be called several times a second: goes on with what is half done, and begins what is wanted. */
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

    /** Violated where the leader could change the core for long and members that are dead still count. */
    private void checkDeadMembersAreRemoved() {
        boolean couldRemove = isLeader() && context.mayVote() && planner.deadMemberToRemove() != null;
        if (!couldRemove) {
            removableSince = NEVER;
        } else if (removableSince == NEVER) {
            removableSince = context.now;
        } else if (context.now - removableSince > MAX_DEAD_MEMBER_MICROS) {
            context.port.reportInvariantViolation("dead members leave a core that is large enough without them: "
                    + planner.deadMemberToRemove() + " of " + context.core.nodeNames());
            removableSince = NEVER;
        }
    }

    /** A message of a round has come in. */
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

    /** Whether this node's state under that epoch is final and may be handed over to a member of the next core. */
    public boolean maySendHandover(String to, long epoch) {
        return acceptsEpoch(to, epoch) && isMember() && acceptor.isFencedOnDisk() && context.mayVote();
    }

    /** All that a fenced member had under that epoch is here now, its pending proposals among it. */
    public void onHandover(long time, String from, long epoch) {
        context.now = time;
        if (epoch == epoch() && context.core.contains(from)) {
            acceptor.onHandover(from);
        }
    }
}
