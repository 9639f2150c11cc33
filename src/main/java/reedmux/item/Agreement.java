package reedmux.item;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * One store's part in deciding on the operator's calls. A call is acknowledged once {@code enough} stores
 * hold it safe on their disks, each having found it valid beside what it has; any two such sets share a
 * store, so that two calls which are valid apart and invalid together are never both acknowledged. A call
 * that nobody decided on is brought again, under a higher ballot, by whoever holds it: a store that has taken
 * part in one ballot heeds none below it, so that a call which one attempt may have brought into force is not
 * dropped by another. A store that lost its disk counts for nothing until it has met so many of the others
 * that nothing acknowledged can be missing, and then holds what these hold. Pure: what is to be done is told
 * to {@link Effects}.
 */
public final class Agreement {
    /** A call that was not decided on for so long is brought again, in microseconds. */
    private static final long UNDECIDED = 250_000;
    /** Who is later in the order of those that can be reached waits so much longer with that. */
    private static final long TURN = 300_000;
    /** A round that has no end by then has failed. */
    private static final long ROUND = 800_000;
    public static final int GOOD = 200;
    public static final int WRONG = 400;
    public static final int LATER = 503;

    /** Ballots of calls that are over, kept for what is still on its way. */
    private static final int MOST_BALLOTS = 2048;

    /** What one store says of a call. */
    public enum Vote {
        /** It is on the disk. */
        HELD,
        /** It cannot stand beside what is in force. */
        INVALID,
        /** It cannot stand beside another call that is held. */
        BUSY,
        /** The disk refuses, or the store does not count itself. */
        UNABLE,
        /** A higher ballot has gone before. */
        PASSED
    }

    /** What is to be done. */
    public interface Effects {

        /** Asks all others that can be reached to hold a call. */
        void propose(Proposal proposal);

        void vote(String to, String call, Ballot ballot, Vote vote);

        /** Tells all others that can be reached what became of a call. */
        void tell(String call, Ballot ballot, boolean inForce, List<Item> items);

        /** Puts a call that is held on disk; ends as {@link Agreement#kept}. */
        void keepHeld(Proposal proposal);

        void keepDecided(String call, Ballot ballot, boolean inForce, List<Item> items);

        /** What is in force has changed. */
        void changed();

        void log(String line);
    }

    private final String self;
    private final long life;
    private Quorum quorum;
    private final Replica replica;
    private final Effects effects;
    private final Map<String, Round> rounds = new LinkedHashMap<>();
    private final Map<String, Long> heldAt = new LinkedHashMap<>();
    /** Calls that are held and on our disk, with the ballot that is there. */
    private final Map<String, Ballot> safe = new HashMap<>();
    /** The highest ballot that was seen of each call, also of those that we do not hold. */
    private final Map<String, Ballot> seen = new LinkedHashMap<>();
    /** Who has to be told our vote once a call is on disk, and under which ballot. */
    private final Map<String, Map<String, Ballot>> asking = new LinkedHashMap<>();
    /** Others that we are in touch with, and whose items we have merged since. */
    private final Set<String> merged = new HashSet<>();
    private boolean whole;
    private long calls;
    private long now;

    /** One call on its way. */
    private record Round(Proposal proposal, BiConsumer<Integer, String> reply, Map<String, Vote> votes,
            long since) { }

    /** {@code replica} has what was found on disk, {@code whole}: that nothing of it was lost. */
    public Agreement(String self, long life, Replica replica, boolean whole, Effects effects) {
        this.self = self;
        quorum = Quorum.of(List.of(self), 1);
        this.life = life;
        this.replica = replica;
        this.whole = whole;
        this.effects = effects;
        replica.held().values().forEach(proposal -> {
            heldAt.put(proposal.call(), Long.MIN_VALUE / 2);
            safe.put(proposal.call(), proposal.ballot());
            seen(proposal.call(), proposal.ballot());
        });
    }

    /** Which stores decide. */
    public void quorum(Quorum of) {
        quorum = of;
    }

    public boolean whole() {
        return whole;
    }

    // ---- The others --------------------------------------------------------------------------------
    /** All that is in force at another store has been told, up to now; {@code itsWhole}: it counts itself. */
    public void met(long time, String other, boolean itsWhole, List<Item> items, List<Proposal> held) {
        now = time;
        if (!replica.merge(items).isEmpty()) {
            effects.changed();
        }
        if (itsWhole && !whole) {
            held.forEach(this::takeOver);
        }
        if (itsWhole) {
            merged.add(other);
        }
        // Whatever was acknowledged with us is on others of a quorum: of these we have to have met one.
        if (!whole && quorum.blocked(merged)) {
            whole = true;
            effects.log("whole again, with " + replica.inForce().size() + " items");
            effects.changed();
        }
    }

    /**
     * What another store holds may have been acknowledged with our vote, before our disk was lost: so it is
     * held here, too.
     */
    private void takeOver(Proposal proposal) {
        if (!replica.holds(proposal.call()) && replica.judge(proposal.call(),
                proposal.items()) == Replica.Verdict.GOOD) {
            hold(proposal);
        }
    }

    private void hold(Proposal proposal) {
        seen(proposal.call(), proposal.ballot());
        replica.hold(proposal);
        heldAt.put(proposal.call(), now);
        effects.keepHeld(proposal);
    }

    private void seen(String call, Ballot ballot) {
        Ballot had = seen.get(call);
        if (had == null || ballot.compareTo(had) > 0) {
            seen.put(call, ballot);
        }
        if (seen.size() > MOST_BALLOTS) {
            seen.keySet().removeIf(old -> seen.size() > MOST_BALLOTS / 2 && !replica.holds(old));
        }
    }

    private boolean passed(String call, Ballot ballot) {
        Ballot had = seen.get(call);
        return had != null && ballot.compareTo(had) < 0;
    }

    /** Another store cannot be reached any more: what comes into force there is not known here. */
    public void lost(String other) {
        if (whole) {
            merged.remove(other);
        }
    }

    /** Whether nothing that is acknowledged can be unknown here. */
    public boolean current() {
        if (!whole) {
            return false;
        }
        Set<String> all = new HashSet<>(merged);
        all.add(self);
        return quorum.reached(all);
    }

    // ---- The operator's calls ----------------------------------------------------------------------
    /** A call that changes items; {@code reply} hears the status and a line once. */
    public void adjust(long time, String body, BiConsumer<Integer, String> reply) {
        now = time;
        List<Item> items;
        try {
            items = Change.read(body);
        } catch (Invalid e) {
            reply.accept(WRONG, e.getMessage());
            return;
        }
        if (!current()) {
            reply.accept(LATER, "too few of the others can be reached");
            return;
        }
        List<Item> news = replica.news(items);
        Replica.Verdict verdict = replica.judge("", news);
        if (verdict == Replica.Verdict.INVALID) {
            reply.accept(WRONG, replica.problem());
        } else if (verdict == Replica.Verdict.BUSY) {
            reply.accept(LATER, "another change is being made");
        } else if (news.isEmpty()) {
            reply.accept(GOOD, "{}"); // all of it is in force, or overtaken
        } else {
            bring(new Proposal(self + '/' + life + '/' + ++calls, new Ballot(1, self), news), reply, now);
        }
    }

    /** All items that stand, told to {@code reply} with the status. */
    public void read(BiConsumer<Integer, String> reply) {
        if (current() && replica.held().isEmpty()) {
            reply.accept(GOOD, Change.write(replica.inForce()));
        } else {
            reply.accept(LATER, "too few of the others can be reached, or a change is being made");
        }
    }

    private void bring(Proposal proposal, BiConsumer<Integer, String> reply, long since) {
        rounds.put(proposal.call(), new Round(proposal, reply, new HashMap<>(), since));
        effects.propose(proposal);
        asked(now, self, proposal);
    }

    private Proposal further(Proposal proposal) {
        long number = seen.getOrDefault(proposal.call(), proposal.ballot()).number() + 1;
        return proposal.under(new Ballot(number, self));
    }

    /** Another store, or this one, asks us to hold a call. */
    public void asked(long time, String by, Proposal proposal) {
        now = time;
        String call = proposal.call();
        Ballot ballot = proposal.ballot();
        if (!whole) {
            voted(by, call, ballot, Vote.UNABLE);
            return;
        } else if (passed(call, ballot)) {
            voted(by, call, ballot, Vote.PASSED);
            return;
        }
        seen(call, ballot);
        if (ballot.equals(safe.get(call))) {
            voted(by, call, ballot, Vote.HELD);
            return;
        }
        Replica.Verdict verdict = replica.judge(call, proposal.items()); // good where it is held already
        if (verdict != Replica.Verdict.GOOD) {
            voted(by, call, ballot, verdict == Replica.Verdict.BUSY ? Vote.BUSY : Vote.INVALID);
            return;
        }
        asking.computeIfAbsent(call, name -> new LinkedHashMap<>()).put(by, ballot);
        hold(proposal);
    }

    /** The disk has kept a call that is held, or cannot. */
    public void kept(long time, String call, Ballot ballot, boolean done) {
        now = time;
        if (replica.holds(call)) {
            if (done) {
                safe.put(call, ballot);
            } else if (!safe.containsKey(call)) {
                replica.decide(call, false, List.of());
                heldAt.remove(call);
            }
        }
        Map<String, Ballot> who = asking.getOrDefault(call, Map.of());
        for (Map.Entry<String, Ballot> one : List.copyOf(who.entrySet())) {
            if (one.getValue().compareTo(ballot) <= 0) {
                who.remove(one.getKey());
                voted(one.getKey(), call, one.getValue(), !done ? Vote.UNABLE
                        : passed(call, one.getValue()) || !one.getValue().equals(ballot) ? Vote.PASSED
                        : Vote.HELD);
            }
        }
        if (who.isEmpty()) {
            asking.remove(call);
        }
    }

    private void voted(String by, String call, Ballot ballot, Vote vote) {
        if (by.equals(self)) {
            counted(now, self, call, ballot, vote);
        } else {
            effects.vote(by, call, ballot, vote);
        }
    }

    /** A store has said what it makes of a call. */
    public void counted(long time, String by, String call, Ballot ballot, Vote vote) {
        now = time;
        Round round = rounds.get(call);
        if (round == null || !round.proposal.ballot().equals(ballot)) {
            return;
        }
        round.votes.put(by, vote);
        Set<String> good = new HashSet<>();
        Set<String> against = new HashSet<>();
        Set<String> without = new HashSet<>();
        round.votes.forEach((store, each) -> {
            (each == Vote.HELD ? good : without).add(store);
            if (each == Vote.BUSY || each == Vote.INVALID) {
                against.add(store);
            }
        });
        if (quorum.reached(good)) {
            // Where another holds what cannot stand beside it, that one is decided on first.
            if (!round.votes.containsValue(Vote.BUSY)) {
                end(call, true, true);
            }
        } else if (quorum.blocked(against)) {
            end(call, false, true);
        } else if (quorum.blocked(without)) {
            end(call, false, false);
        }
    }

    /** {@code clear}: it cannot have come into force by another attempt, so that it may be dropped. */
    private void end(String call, boolean good, boolean clear) {
        Round round = rounds.remove(call);
        if (!good) {
            effects.log("not decided: " + call + ' ' + round.votes);
        }
        if (clear) {
            List<Item> items = good ? round.proposal.items() : List.of();
            decided(now, call, round.proposal.ballot(), good, items);
            if (good) {
                round.reply.accept(GOOD, "{}");
            }
            effects.tell(call, round.proposal.ballot(), good, items);
        }
        if (!good) {
            round.reply.accept(LATER, "too few stores could keep the change");
        }
    }

    /** A call is in force, or dropped. */
    public void decided(long time, String call, Ballot ballot, boolean inForce, List<Item> items) {
        now = time;
        if (!inForce && passed(call, ballot)) {
            return; // another attempt goes on, and may have our vote
        }
        seen(call, ballot);
        heldAt.remove(call);
        safe.remove(call);
        long before = replica.changes();
        replica.decide(call, inForce, items);
        effects.keepDecided(call, ballot, inForce, items);
        if (replica.changes() != before) {
            effects.changed();
        }
    }

    /** Ends rounds that have no end, and brings again what is held and was not decided on. */
    public void look(long time) {
        now = time;
        for (Map.Entry<String, Round> entry : List.copyOf(rounds.entrySet())) {
            Round round = entry.getValue();
            if (now - round.since > ROUND) {
                end(entry.getKey(), false, false);
            } else if (round.votes.containsValue(Vote.BUSY) && current()) {
                // What was in its way may be decided by now.
                bring(further(round.proposal), round.reply, round.since);
            }
        }
        if (!current()) {
            return;
        }
        long turn = UNDECIDED + TURN * merged.stream().filter(other -> other.compareTo(self) < 0).count();
        for (Map.Entry<String, Long> entry : List.copyOf(heldAt.entrySet())) {
            Proposal proposal = replica.held().get(entry.getKey());
            if (now - entry.getValue() > turn && proposal != null && !rounds.containsKey(proposal.call())) {
                heldAt.put(proposal.call(), now + ROUND);
                bring(further(proposal), (status, line) -> { }, now);
            }
        }
    }
}
