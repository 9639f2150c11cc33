package reedmux.item;

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
 * what is to be done is told to {@link Effects}.
 */
public final class Membership {
    /** A step that was not answered is said again after so long, and a round given up, in microseconds. */
    private static final long AGAIN = 125_000;

    private static final long ROUND = 2_000_000;
    /** A joiner has everything for so long before it is proposed. */
    private static final long SETTLED = 1_000_000;
    /** A store that has lost its disk accepts nothing before all that it was sent earlier has come in. */
    private static final long AFTER_LOSS = 4_000_000;
    /** An order to leave that could not be carried out is forgotten after so long. */
    private static final long PATIENCE = 30_000_000;

    private static final int AGREED = 200;
    private static final int REFUSED = 409;
    private static final int LATER = 503;

    /** What a step of a round is. */
    public enum Kind {
        PREPARE,
        PROMISE,
        ACCEPT,
        ACCEPTED,
        PASSED
    }

    /**
     * One message of a round.
     *
     * @param epoch the one whose successor is decided on
     * @param under with a promise, the ballot of what was accepted before, else null
     * @param value what is to be accepted, or was; else null
     */
    public record Step(Kind kind, long epoch, Ballot ballot, Ballot under, Members value) {}

    /**
     * What has to outlive the process.
     *
     * @param left it was a member once and is none now, so that it does not ask to join
     */
    public record State(Members core, Ballot promised, Ballot accepted, Members value, boolean left) {}

    /** Who carries changes through, under which epoch, and since when by this store's clock. */
    public record Duty(String holder, long epoch, long since) {}

    /** What is to be done. */
    public interface Effects {

        void say(String to, Step step);

        /** Tells another store of the core that is known here. */
        void tellCore(String to);

        /** Asks a member for all that it has under the epoch that it is fenced from. */
        void fetch(String from, long epoch);

        /**
         * Whether all that those have told is clear: what they hold is held here, or was never decided
         * on.
         */
        boolean settled(Set<String> handed);

        void keepCore(State state, Consumer<Boolean> done);

        /** Another core holds from now on, or another fence. */
        void adopted();

        void log(String line);
    }

    private final String self;
    private final int copies;
    private final Effects effects;
    private Members core;
    private Ballot promised;
    private Ballot accepted;
    private Members value;
    private boolean left;
    /** What was accepted is on disk. */
    private boolean safe;
    /** Fenced members whose items and calls we have, and whether these are on our disk. */
    private final Set<String> handed = new HashSet<>();

    private boolean handedKept;
    private boolean handedSafe;
    /** From when on this store may promise and accept as a member; it had lost its disk before. */
    private long soundAt;

    private final Map<String, Peer> peers = new LinkedHashMap<>();
    private final Map<String, Leaving> leaving = new LinkedHashMap<>();
    private Round round;
    private long numbers;
    private long restUntil;
    private Duty duty = new Duty("", -1, 0);
    private long now;

    /** Another store that is in touch. */
    private static final class Peer {
        final String node;
        long readySince = Long.MAX_VALUE;
        boolean fenced;

        Peer(String node) {
            this.node = node;
        }
    }

    private record Leaving(long since, List<BiConsumer<Integer, String>> replies) {}

    /** One attempt of ours. */
    private static final class Round {
        final Ballot ballot;
        final long since;
        final Set<String> yes = new HashSet<>();
        Members value;
        Ballot under;
        boolean accepting;
        long saidAt;

        Round(Ballot ballot, Members value, long since) {
            this.ballot = ballot;
            this.value = value;
            this.since = since;
        }
    }

    /** {@code found}: what was on disk; null where nothing was and others are to tell of the core. */
    public Membership(String self, int copies, State found, boolean sound, Effects effects) {
        this.self = self;
        this.copies = copies;
        this.effects = effects;
        soundAt = sound ? Long.MIN_VALUE : Long.MAX_VALUE;
        if (found != null) {
            core = found.core;
            promised = found.promised;
            accepted = found.accepted;
            value = found.value;
            left = found.left;
            safe = accepted != null;
        }
    }

    /** The core that holds; null where it is not known yet. */
    public Members core() {
        return core;
    }

    public long epoch() {
        return core == null ? -1 : core.epoch();
    }

    public Quorum quorum() {
        return Quorum.of(core == null ? List.of() : core.ips(), copies);
    }

    public boolean member() {
        return core != null && core.has(self);
    }

    /** Whether a successor has been accepted here, so that nothing new is taken under this epoch. */
    public boolean fenced() {
        return accepted != null;
    }

    /** Whether it would join, if it were whole. */
    public boolean applies() {
        return core != null && !member() && !left;
    }

    public State state() {
        return new State(core, promised, accepted, value, left);
    }

    public Duty duty() {
        return duty;
    }

    /** Whether we carry changes through, as far as we know. */
    public boolean onDuty() {
        return duty.holder.equals(self);
    }

    // ---- The others --------------------------------------------------------------------------------
    public void met(long time, String ip, String node) {
        now = time;
        peers.put(ip, new Peer(node));
        named(Map.of(ip, node));
        turn();
    }

    public void lost(long time, String ip) {
        now = time;
        peers.remove(ip);
        if (round != null) {
            round.yes.remove(ip); // it may come back without what it has said
        }
        turn();
    }

    /** This store has made up for the loss of its disk. */
    public void mended(long time) {
        soundAt = Math.min(soundAt, time + AFTER_LOSS);
    }

    /** Another process tells of the core; of a store also whether it would join, and whether it is fenced. */
    public void told(long time, String ip, Members other, boolean ready, boolean isFenced) {
        now = time;
        Peer peer = peers.get(ip);
        if (peer != null) {
            peer.readySince = !ready ? Long.MAX_VALUE : Math.min(peer.readySince, now);
            peer.fenced = isFenced && other != null && other.epoch() == epoch();
        }
        if (other == null) {
            return;
        } else if (other.epoch() > epoch()) {
            adopt(other);
        } else if (other.epoch() < epoch()) {
            effects.tellCore(ip);
        } else {
            named(other.nodes());
        }
    }

    private void named(Map<String, String> nodes) {
        Members before = core;
        if (core != null) {
            nodes.forEach((ip, node) -> core = core.named(ip, node));
        }
        if (core != before) {
            keep(done -> {});
        }
    }

    /** Whether somebody acts under our epoch; who does not is told of ours, and tells of a newer one. */
    public boolean admits(String by, long epoch) {
        if (core != null && epoch != core.epoch()) {
            effects.tellCore(by);
        }
        return core != null && epoch == core.epoch();
    }

    private void adopt(Members next) {
        left = (left || member()) && !next.has(self);
        effects.log("core of epoch " + next.epoch() + ": " + next.nodes());
        core = next;
        promised = null;
        accepted = null;
        value = null;
        safe = false;
        handed.clear();
        handedKept = false;
        handedSafe = false;
        round = null;
        peers.values().forEach(peer -> peer.fenced = false);
        peers.forEach((ip, peer) -> core = core.named(ip, peer.node));
        keep(done -> {});
        effects.adopted();
        turn();
        for (String node : List.copyOf(leaving.keySet())) {
            if (core.find(node) == null) {
                leaving.remove(node).replies.forEach(reply -> reply.accept(AGREED, "{}"));
            }
        }
    }

    private void keep(Consumer<Boolean> done) {
        effects.keepCore(state(), done);
    }

    private void turn() {
        String holder = "";
        if (core != null) {
            for (String ip : core.ips()) {
                if (ip.equals(self) || peers.containsKey(ip)) {
                    holder = ip;
                    break;
                }
            }
        }
        if (!holder.equals(duty.holder) || duty.epoch != epoch()) {
            duty = new Duty(holder, epoch(), now);
        }
    }

    // ---- What is wanted ----------------------------------------------------------------------------
    /** The operator orders a member out; to be asked of the one on duty. */
    public void leave(long time, String node, BiConsumer<Integer, String> reply) {
        now = time;
        if (core == null || !onDuty() || !quorum().reached(live())) {
            reply.accept(LATER, "too few of the core can be reached");
            return;
        }
        String ip = core.find(node);
        if (ip == null) {
            reply.accept(AGREED, "{}");
            return;
        }
        int rest = core.nodes().size() - 1;
        boolean up = ip.equals(self) || peers.containsKey(ip);
        int needed = up ? 2 * copies - 1 : copies;
        if (rest < needed) {
            reply.accept(
                    REFUSED,
                    node + " cannot leave: of " + rest + " members too few could be lost, " + needed + " are needed");
            return;
        }
        leaving.computeIfAbsent(node, name -> new Leaving(now, new ArrayList<>()))
                .replies
                .add(reply);
        look(time);
    }

    private Set<String> live() {
        Set<String> live = new HashSet<>(peers.keySet());
        live.add(self);
        return live;
    }

    /** The change that is to be made next; null for none, or where too few could make it. */
    private Members wanted() {
        for (String node : leaving.keySet()) {
            String ip = core.find(node);
            if (ip != null && possible(core.next(ip, null, null))) {
                return core.next(ip, null, null);
            }
        }
        for (Map.Entry<String, Peer> one : peers.entrySet()) {
            Peer peer = one.getValue();
            if (!core.has(one.getKey()) && peer.readySince <= now - SETTLED) {
                String before = peer.node.isEmpty() ? null : core.find(peer.node);
                boolean twice = before != null && (before.equals(self) || peers.containsKey(before));
                Members next = core.next(before, one.getKey(), peer.node);
                if (!twice && possible(next)) {
                    return next;
                }
            }
        }
        return null;
    }

    private boolean possible(Members next) {
        return Quorum.joint(core.ips(), next.ips(), copies).reached(live());
    }

    // ---- Proposing ---------------------------------------------------------------------------------
    /** Goes on with what is half done, and begins what is wanted. */
    public void look(long time) {
        now = time;
        turn();
        leaving.values().removeIf(one -> now - one.since > PATIENCE);
        if (core == null) {
            return;
        }
        fetch();
        if (round != null && now - round.since > ROUND) {
            round = null;
        }
        if (round != null) {
            if (now - round.saidAt >= AGAIN) {
                say();
            }
        } else if (onDuty() && now >= restUntil && now >= soundAt) {
            boolean half = fenced();
            for (Peer peer : peers.values()) {
                half |= peer.fenced;
            }
            Members next = wanted();
            if (half || next != null) {
                numbers = Math.max(numbers, promised == null ? 0 : promised.number()) + 1;
                round = new Round(new Ballot(numbers, self), next, now);
                say();
            }
        }
    }

    private void say() {
        Round mine = round;
        mine.saidAt = now;
        Set<String> to = new TreeSet<>(core.ips());
        if (mine.accepting) {
            to.addAll(mine.value.ips());
        }
        if (!mine.accepting && !mine.yes.contains(self)) {
            to.retainAll(Set.of(self)); // a ballot that others have seen is on our own disk first
        }
        to.removeAll(mine.yes);
        Step step = new Step(
                mine.accepting ? Kind.ACCEPT : Kind.PREPARE,
                core.epoch(),
                mine.ballot,
                null,
                mine.accepting ? mine.value : null);
        for (String each : to) {
            send(each, step);
        }
    }

    private void send(String to, Step step) {
        if (to.equals(self)) {
            step(now, self, step);
        } else {
            effects.say(to, step);
        }
    }

    /** A step of a round has come in. */
    public void step(long time, String from, Step step) {
        now = time;
        if (!admits(from, step.epoch)) {
            return;
        }
        switch (step.kind) {
            case PREPARE -> prepare(from, step);
            case ACCEPT -> accept(from, step);
            case PROMISE -> promised(from, step);
            case ACCEPTED -> accepted(from, step);
            default -> {
                numbers = Math.max(numbers, step.ballot.number());
                if (round != null && round.ballot.compareTo(step.ballot) < 0) {
                    effects.log("another has acted on the core since: " + step.ballot);
                    round = null;
                    restUntil = now + 2 * AGAIN;
                }
            }
        }
    }

    private void promised(String from, Step step) {
        if (round == null || round.accepting || !round.ballot.equals(step.ballot)) {
            return;
        }
        if (step.under != null && (round.under == null || step.under.compareTo(round.under) > 0)) {
            round.under = step.under;
            round.value = step.value;
        }
        round.yes.add(from);
        if (quorum().reached(round.yes)) {
            if (round.value == null) {
                round = null; // what was wanted, or half done, is not any more
                return;
            }
            round.accepting = true;
            round.yes.clear();
            say();
        } else if (from.equals(self)) {
            say();
        }
    }

    private void accepted(String from, Step step) {
        if (round == null || !round.accepting || !round.ballot.equals(step.ballot)) {
            return;
        }
        round.yes.add(from);
        if (Quorum.joint(core.ips(), round.value.ips(), copies).reached(round.yes)) {
            adopt(round.value);
        }
    }

    // ---- Accepting ---------------------------------------------------------------------------------
    private boolean passed(String from, Ballot ballot) {
        if (promised != null && ballot.compareTo(promised) < 0) {
            send(from, new Step(Kind.PASSED, core.epoch(), promised, null, null));
            return true;
        }
        return false;
    }

    private void prepare(String from, Step step) {
        if (!member() || now < soundAt || passed(from, step.ballot)) {
            return;
        }
        promised = step.ballot;
        State kept = state();
        effects.keepCore(kept, done -> {
            if (done && epoch() == step.epoch && kept.promised.equals(promised)) {
                send(from, new Step(Kind.PROMISE, step.epoch, step.ballot, kept.accepted, kept.value));
            }
        });
    }

    private void accept(String from, Step step) {
        if (!member() && !step.value.has(self) || member() && now < soundAt || passed(from, step.ballot)) {
            return;
        }
        if (safe && step.ballot.equals(accepted)) {
            accepted();
            return;
        }
        promised = step.ballot;
        accepted = step.ballot;
        value = step.value;
        safe = false;
        effects.adopted();
        keep(done -> {
            if (done && step.ballot.equals(accepted)) {
                safe = true;
                fetch();
                accepted();
            }
        });
    }

    /** Says that we have accepted, once we are fit for what we are to be afterwards. */
    private void accepted() {
        if (!safe || value.has(self) && !handedSafe) {
            return;
        }
        send(accepted.by(), new Step(Kind.ACCEPTED, core.epoch(), accepted, null, null));
    }

    // ---- Handing over ------------------------------------------------------------------------------
    private void fetch() {
        if (safe && value.has(self) && !handedSafe) {
            if (member()) {
                handed.add(self);
            }
            for (String each : core.ips()) {
                if (!handed.contains(each)) {
                    effects.fetch(each, core.epoch());
                }
            }
            complete();
        }
    }

    /**
     * Whether what we have may be handed over to who is to be a member: nothing is added under that
     * epoch.
     */
    public boolean handsOver(String to, long epoch) {
        return admits(to, epoch) && member() && safe && now >= soundAt;
    }

    /** All that a fenced member has is here now, what it holds among it. */
    public void handed(long time, String from, long epoch) {
        now = time;
        if (epoch == epoch() && core.has(from)) {
            handed.add(from);
            complete();
        }
    }

    private void complete() {
        if (safe && !handedKept && quorum().reached(handed) && effects.settled(handed)) {
            handedKept = true;
            long epoch = core.epoch();
            keep(done -> {
                if (epoch == epoch()) {
                    handedKept = done;
                    handedSafe = done;
                    accepted();
                }
            });
        }
    }
}
