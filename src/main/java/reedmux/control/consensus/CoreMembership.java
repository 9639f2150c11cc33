package reedmux.control.consensus;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * One store's part in changing the core. The successor of each epoch is one decision by Paxos: prepared by
 * a quorum of the members, accepted by a quorum of them and one of those after it. Who has accepted is
 * fenced: it takes no new call under the old epoch, so that what a quorum of fenced members has is all that
 * the old epoch can ever decide; who is to be a member afterwards says that it has accepted only once it has
 * that on its own disk. One change at a time is proposed by the first live member in the order of ips. Pure:
 * what is to be done is told to {@link CoreMembershipPort}.
 */
public final class CoreMembership {
    /** A step that was not answered is said again after so long, and a round given up, in microseconds. */
    private static final long RESEND_INTERVAL_MICROS = 125_000;

    private static final long ROUND_TIMEOUT_MICROS = 2_000_000;
    /** A joiner has everything for so long before it is proposed. */
    private static final long JOINER_STABLE_MICROS = 1_000_000;
    /** A store that has lost its disk accepts nothing before all that it was sent earlier has come in. */
    private static final long DISK_LOSS_DELAY_MICROS = 4_000_000;
    /** An order to leave that could not be carried out is forgotten after so long. */
    private static final long REMOVAL_TIMEOUT_MICROS = 30_000_000;

    private static final int STATUS_OK = 200;
    private static final int STATUS_CONFLICT = 409;
    private static final int STATUS_UNAVAILABLE = 503;

    /** What a step of a round is. */
    public enum EpochMessageType {
        PREPARE,
        PROMISE,
        ACCEPT,
        ACCEPTED,
        REJECTED
    }

    /**
     * One message of a round.
     *
     * @param epoch the one whose successor is decided on
     * @param under with a promise, the ballot of what was accepted before, else null
     * @param value what is to be accepted, or was; else null
     */
    public record EpochMessage(
            EpochMessageType type, long epoch, Ballot ballot, Ballot acceptedBallot, CoreMembers value) {}

    /**
     * What has to outlive the process.
     *
     * @param left it was a member once and is none now, so that it does not ask to join
     */
    public record PersistentCoreState(
            CoreMembers core, Ballot promised, Ballot accepted, CoreMembers value, boolean removed) {}

    /** Who carries changes through, under which epoch, and since when by this store's clock. */
    public record CoreLeader(String ip, long epoch, long since) {}

    /** What is to be done. */
    public interface CoreMembershipPort {

        void sendEpochMessage(String to, EpochMessage step);

        /** Tells another store of the core that is known here. */
        void announceCore(String to);

        /** Asks a member for all that it has under the epoch that it is fenced from. */
        void requestHandover(String from, long epoch);

        /**
         * Whether all that those have told is clear: what they hold is held here, or was never decided
         * on.
         */
        boolean resolvesDoubts(Set<String> handed);

        void persistCore(PersistentCoreState state, Consumer<Boolean> done);

        /** Another core holds from now on, or another fence. */
        void coreChanged();

        void log(String line);
    }

    private final String self;
    private final int minimumReplicas;
    private final CoreMembershipPort port;
    private CoreMembers core;
    private Ballot promised;
    private Ballot accepted;
    private CoreMembers value;
    private boolean removed;
    /** What was accepted is on disk. */
    private boolean acceptedPersisted;
    /** Fenced members whose items and calls we have, and whether these are on our disk. */
    private final Set<String> handedOver = new HashSet<>();

    private boolean handoverPersisting;
    private boolean handoverPersisted;
    /** From when on this store may promise and accept as a member; it had lost its disk before. */
    private long mayVoteFrom;

    private final Map<String, CorePeer> peers = new LinkedHashMap<>();
    private final Map<String, PendingRemoval> pendingRemovals = new LinkedHashMap<>();
    private EpochRound round;
    private long lastBallotNumber;
    private long backoffUntil;
    private CoreLeader leader = new CoreLeader("", -1, 0);
    private long now;

    /** Another store that is in touch. */
    private static final class CorePeer {
        final String node;
        long readySince = Long.MAX_VALUE;
        boolean fenced;

        CorePeer(String node) {
            this.node = node;
        }
    }

    private record PendingRemoval(long requestedAt, List<BiConsumer<Integer, String>> replies) {}

    /** One attempt of ours. */
    private static final class EpochRound {
        final Ballot ballot;
        final long startedAt;
        final Set<String> respondents = new HashSet<>();
        CoreMembers value;
        Ballot highestAccepted;
        boolean accepting;
        long sentAt;

        EpochRound(Ballot ballot, CoreMembers value, long since) {
            this.ballot = ballot;
            this.value = value;
            this.startedAt = since;
        }
    }

    /** {@code found}: what was on disk; null where nothing was and others are to tell of the core. */
    public CoreMembership(
            String self, int copies, PersistentCoreState found, boolean sound, CoreMembershipPort effects) {
        this.self = self;
        this.minimumReplicas = copies;
        this.port = effects;
        mayVoteFrom = sound ? Long.MIN_VALUE : Long.MAX_VALUE;
        if (found != null) {
            core = found.core;
            promised = found.promised;
            accepted = found.accepted;
            value = found.value;
            removed = found.removed;
            acceptedPersisted = accepted != null;
        }
    }

    /** The core that holds; null where it is not known yet. */
    public CoreMembers core() {
        return core;
    }

    public long epoch() {
        return core == null ? -1 : core.epoch();
    }

    public Quorum quorum() {
        return Quorum.of(core == null ? List.of() : core.ips(), minimumReplicas);
    }

    public boolean isMember() {
        return core != null && core.contains(self);
    }

    /** Whether a successor has been accepted here, so that nothing new is taken under this epoch. */
    public boolean isFenced() {
        return accepted != null;
    }

    /** Whether it would join, if it were whole. */
    public boolean isCandidate() {
        return core != null && !isMember() && !removed;
    }

    public PersistentCoreState persistentState() {
        return new PersistentCoreState(core, promised, accepted, value, removed);
    }

    public CoreLeader leader() {
        return leader;
    }

    /** Whether we carry changes through, as far as we know. */
    public boolean isLeader() {
        return leader.ip.equals(self);
    }

    // ---- The others --------------------------------------------------------------------------------
    public void onPeerConnected(long time, String ip, String node) {
        now = time;
        peers.put(ip, new CorePeer(node));
        learnNodeNames(Map.of(ip, node));
        updateLeader();
    }

    public void onPeerDisconnected(long time, String ip) {
        now = time;
        peers.remove(ip);
        if (round != null) {
            round.respondents.remove(ip); // it may come back without what it has said
        }
        updateLeader();
    }

    /** This store has made up for the loss of its disk. */
    public void onDiskRecovered(long time) {
        mayVoteFrom = Math.min(mayVoteFrom, time + DISK_LOSS_DELAY_MICROS);
    }

    /** Another process tells of the core; of a store also whether it would join, and whether it is fenced. */
    public void onCoreAnnounced(long time, String ip, CoreMembers other, boolean ready, boolean isFenced) {
        now = time;
        CorePeer peer = peers.get(ip);
        if (peer != null) {
            peer.readySince = !ready ? Long.MAX_VALUE : Math.min(peer.readySince, now);
            peer.fenced = isFenced && other != null && other.epoch() == epoch();
        }
        if (other == null) {
            return;
        } else if (other.epoch() > epoch()) {
            install(other);
        } else if (other.epoch() < epoch()) {
            port.announceCore(ip);
        } else {
            learnNodeNames(other.nodeNames());
        }
    }

    private void learnNodeNames(Map<String, String> nodes) {
        CoreMembers before = core;
        if (core != null) {
            nodes.forEach((ip, node) -> core = core.withNodeName(ip, node));
        }
        if (core != before) {
            persist(done -> {});
        }
    }

    /** Whether somebody acts under our epoch; who does not is told of ours, and tells of a newer one. */
    public boolean acceptsEpoch(String by, long epoch) {
        if (core != null && epoch != core.epoch()) {
            port.announceCore(by);
        }
        return core != null && epoch == core.epoch();
    }

    private void install(CoreMembers next) {
        removed = (removed || isMember()) && !next.contains(self);
        port.log("core of epoch " + next.epoch() + ": " + next.nodeNames());
        core = next;
        promised = null;
        accepted = null;
        value = null;
        acceptedPersisted = false;
        handedOver.clear();
        handoverPersisting = false;
        handoverPersisted = false;
        round = null;
        peers.values().forEach(peer -> peer.fenced = false);
        peers.forEach((ip, peer) -> core = core.withNodeName(ip, peer.node));
        persist(done -> {});
        port.coreChanged();
        updateLeader();
        for (String node : List.copyOf(pendingRemovals.keySet())) {
            if (core.findIp(node) == null) {
                pendingRemovals.remove(node).replies.forEach(reply -> reply.accept(STATUS_OK, "{}"));
            }
        }
    }

    private void persist(Consumer<Boolean> done) {
        port.persistCore(persistentState(), done);
    }

    private void updateLeader() {
        String holder = "";
        if (core != null) {
            for (String ip : core.ips()) {
                if (ip.equals(self) || peers.containsKey(ip)) {
                    holder = ip;
                    break;
                }
            }
        }
        if (!holder.equals(leader.ip) || leader.epoch != epoch()) {
            leader = new CoreLeader(holder, epoch(), now);
        }
    }

    // ---- What is wanted ----------------------------------------------------------------------------
    /** The operator orders a member out; to be asked of the one on duty. */
    public void requestRemoval(long time, String node, BiConsumer<Integer, String> reply) {
        now = time;
        if (core == null || !isLeader() || !quorum().isReachedBy(livePeers())) {
            reply.accept(STATUS_UNAVAILABLE, "too few of the core can be reached");
            return;
        }
        String ip = core.findIp(node);
        if (ip == null) {
            reply.accept(STATUS_OK, "{}");
            return;
        }
        int rest = core.nodeNames().size() - 1;
        boolean up = ip.equals(self) || peers.containsKey(ip);
        int needed = up ? 2 * minimumReplicas - 1 : minimumReplicas;
        if (rest < needed) {
            reply.accept(
                    STATUS_CONFLICT,
                    node + " cannot leave: of " + rest + " members too few could be lost, " + needed + " are needed");
            return;
        }
        pendingRemovals
                .computeIfAbsent(node, name -> new PendingRemoval(now, new ArrayList<>()))
                .replies
                .add(reply);
        onTick(time);
    }

    private Set<String> livePeers() {
        Set<String> live = new HashSet<>(peers.keySet());
        live.add(self);
        return live;
    }

    /** The change that is to be made next; null for none, or where too few could make it. */
    private CoreMembers nextChange() {
        for (String node : pendingRemovals.keySet()) {
            String ip = core.findIp(node);
            if (ip != null && isReachable(core.successor(ip, null, null))) {
                return core.successor(ip, null, null);
            }
        }
        for (Map.Entry<String, CorePeer> one : peers.entrySet()) {
            CorePeer peer = one.getValue();
            if (!core.contains(one.getKey()) && peer.readySince <= now - JOINER_STABLE_MICROS) {
                String before = peer.node.isEmpty() ? null : core.findIp(peer.node);
                boolean twice = before != null && (before.equals(self) || peers.containsKey(before));
                CoreMembers next = core.successor(before, one.getKey(), peer.node);
                if (!twice && isReachable(next)) {
                    return next;
                }
            }
        }
        return null;
    }

    private boolean isReachable(CoreMembers next) {
        return Quorum.joint(core.ips(), next.ips(), minimumReplicas).isReachedBy(livePeers());
    }

    // ---- Proposing ---------------------------------------------------------------------------------
    /** Goes on with what is half done, and begins what is wanted. */
    public void onTick(long time) {
        now = time;
        updateLeader();
        pendingRemovals.values().removeIf(one -> now - one.requestedAt > REMOVAL_TIMEOUT_MICROS);
        if (core == null) {
            return;
        }
        requestHandovers();
        if (round != null && now - round.startedAt > ROUND_TIMEOUT_MICROS) {
            round = null;
        }
        if (round != null) {
            if (now - round.sentAt >= RESEND_INTERVAL_MICROS) {
                sendRoundMessages();
            }
        } else if (isLeader() && now >= backoffUntil && now >= mayVoteFrom) {
            boolean half = isFenced();
            for (CorePeer peer : peers.values()) {
                half |= peer.fenced;
            }
            CoreMembers next = nextChange();
            if (half || next != null) {
                lastBallotNumber = Math.max(lastBallotNumber, promised == null ? 0 : promised.number()) + 1;
                round = new EpochRound(new Ballot(lastBallotNumber, self), next, now);
                sendRoundMessages();
            }
        }
    }

    private void sendRoundMessages() {
        EpochRound mine = round;
        mine.sentAt = now;
        Set<String> to = new TreeSet<>(core.ips());
        if (mine.accepting) {
            to.addAll(mine.value.ips());
        }
        if (!mine.accepting && !mine.respondents.contains(self)) {
            to.retainAll(Set.of(self)); // a ballot that others have seen is on our own disk first
        }
        to.removeAll(mine.respondents);
        EpochMessage step = new EpochMessage(
                mine.accepting ? EpochMessageType.ACCEPT : EpochMessageType.PREPARE,
                core.epoch(),
                mine.ballot,
                null,
                mine.accepting ? mine.value : null);
        for (String each : to) {
            send(each, step);
        }
    }

    private void send(String to, EpochMessage step) {
        if (to.equals(self)) {
            onEpochMessage(now, self, step);
        } else {
            port.sendEpochMessage(to, step);
        }
    }

    /** A step of a round has come in. */
    public void onEpochMessage(long time, String from, EpochMessage step) {
        now = time;
        if (!acceptsEpoch(from, step.epoch)) {
            return;
        }
        switch (step.type) {
            case PREPARE -> onPrepare(from, step);
            case ACCEPT -> onAccept(from, step);
            case PROMISE -> onPromise(from, step);
            case ACCEPTED -> accepted(from, step);
            default -> {
                lastBallotNumber = Math.max(lastBallotNumber, step.ballot.number());
                if (round != null && round.ballot.compareTo(step.ballot) < 0) {
                    port.log("another has acted on the core since: " + step.ballot);
                    round = null;
                    backoffUntil = now + 2 * RESEND_INTERVAL_MICROS;
                }
            }
        }
    }

    private void onPromise(String from, EpochMessage step) {
        if (round == null || round.accepting || !round.ballot.equals(step.ballot)) {
            return;
        }
        if (step.acceptedBallot != null
                && (round.highestAccepted == null || step.acceptedBallot.compareTo(round.highestAccepted) > 0)) {
            round.highestAccepted = step.acceptedBallot;
            round.value = step.value;
        }
        round.respondents.add(from);
        if (quorum().isReachedBy(round.respondents)) {
            if (round.value == null) {
                round = null; // what was wanted, or half done, is not any more
                return;
            }
            round.accepting = true;
            round.respondents.clear();
            sendRoundMessages();
        } else if (from.equals(self)) {
            sendRoundMessages();
        }
    }

    private void accepted(String from, EpochMessage step) {
        if (round == null || !round.accepting || !round.ballot.equals(step.ballot)) {
            return;
        }
        round.respondents.add(from);
        if (Quorum.joint(core.ips(), round.value.ips(), minimumReplicas).isReachedBy(round.respondents)) {
            install(round.value);
        }
    }

    // ---- Accepting ---------------------------------------------------------------------------------
    private boolean rejectIfSuperseded(String from, Ballot ballot) {
        if (promised != null && ballot.compareTo(promised) < 0) {
            send(from, new EpochMessage(EpochMessageType.REJECTED, core.epoch(), promised, null, null));
            return true;
        }
        return false;
    }

    private void onPrepare(String from, EpochMessage step) {
        if (!isMember() || now < mayVoteFrom || rejectIfSuperseded(from, step.ballot)) {
            return;
        }
        promised = step.ballot;
        PersistentCoreState kept = persistentState();
        port.persistCore(kept, done -> {
            if (done && epoch() == step.epoch && kept.promised.equals(promised)) {
                send(
                        from,
                        new EpochMessage(EpochMessageType.PROMISE, step.epoch, step.ballot, kept.accepted, kept.value));
            }
        });
    }

    private void onAccept(String from, EpochMessage step) {
        if (!isMember() && !step.value.contains(self)
                || isMember() && now < mayVoteFrom
                || rejectIfSuperseded(from, step.ballot)) {
            return;
        }
        if (acceptedPersisted && step.ballot.equals(accepted)) {
            accepted();
            return;
        }
        promised = step.ballot;
        accepted = step.ballot;
        value = step.value;
        acceptedPersisted = false;
        port.coreChanged();
        persist(done -> {
            if (done && step.ballot.equals(accepted)) {
                acceptedPersisted = true;
                requestHandovers();
                accepted();
            }
        });
    }

    /** Says that we have accepted, once we are fit for what we are to be afterwards. */
    private void accepted() {
        if (!acceptedPersisted || value.contains(self) && !handoverPersisted) {
            return;
        }
        send(accepted.proposer(), new EpochMessage(EpochMessageType.ACCEPTED, core.epoch(), accepted, null, null));
    }

    // ---- Handing over ------------------------------------------------------------------------------
    private void requestHandovers() {
        if (acceptedPersisted && value.contains(self) && !handoverPersisted) {
            if (isMember()) {
                handedOver.add(self);
            }
            for (String each : core.ips()) {
                if (!handedOver.contains(each)) {
                    port.requestHandover(each, core.epoch());
                }
            }
            completeHandover();
        }
    }

    /**
     * Whether what we have may be handed over to who is to be a member: nothing is added under that
     * epoch.
     */
    public boolean maySendHandover(String to, long epoch) {
        return acceptsEpoch(to, epoch) && isMember() && acceptedPersisted && now >= mayVoteFrom;
    }

    /** All that a fenced member has is here now, what it holds among it. */
    public void onHandover(long time, String from, long epoch) {
        now = time;
        if (epoch == epoch() && core.contains(from)) {
            handedOver.add(from);
            completeHandover();
        }
    }

    private void completeHandover() {
        if (acceptedPersisted
                && !handoverPersisting
                && quorum().isReachedBy(handedOver)
                && port.resolvesDoubts(handedOver)) {
            handoverPersisting = true;
            long epoch = core.epoch();
            persist(done -> {
                if (epoch == epoch()) {
                    handoverPersisting = done;
                    handoverPersisted = done;
                    accepted();
                }
            });
        }
    }
}
