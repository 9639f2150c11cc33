package reedmux.item;

import java.util.ArrayList;
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
 * that nobody decided on is brought again by whoever holds it. A store that lost its disk counts for
 * nothing until it has met so many of the others that nothing acknowledged can be missing. Pure: what is to
 * be done is told to {@link Effects}.
 */
public final class Council {
    /** A call that was not decided on for so long is brought again, in microseconds. */
    private static final long UNDECIDED = 250_000;
    /** A round that has no end by then has failed. */
    private static final long ROUND = 800_000;
    public static final int GOOD = 200;
    public static final int WRONG = 400;
    public static final int LATER = 503;

    /** What one store says of a call. */
    public enum Vote { HELD, INVALID, BUSY, UNABLE }

    /** What is to be done. */
    public interface Effects {

        /** Asks all others that can be reached to hold a call. */
        void propose(String call, List<Item> items);

        void vote(String to, String call, Vote vote);

        /** Tells all others that can be reached what became of a call. */
        void tell(String call, boolean inForce, List<Item> items);

        /** Puts a call that is held on disk; ends as {@link Council#kept}. */
        void keepHeld(String call, List<Item> items);

        void keepDecided(String call, boolean inForce, List<Item> items);

        /** What is in force has changed. */
        void changed();

        void log(String line);
    }

    private final String self;
    private final long life;
    private int members = 1;
    private int enough = 1;
    private final Shelf shelf;
    private final Effects effects;
    private final Map<String, Round> rounds = new LinkedHashMap<>();
    private final Map<String, Long> heldAt = new LinkedHashMap<>();
    /** Calls that are held and on our disk. */
    private final Set<String> safe = new HashSet<>();
    /** Who has to be told our vote once a call is on disk. */
    private final Map<String, Set<String>> asking = new HashMap<>();
    /** Others that we are in touch with, and whose items we have merged since. */
    private final Set<String> merged = new HashSet<>();
    private boolean whole;
    private long calls;
    private long now;

    /** One call on its way. */
    private record Round(List<Item> items, BiConsumer<Integer, String> reply, Map<String, Vote> votes,
            long since) { }

    /** {@code shelf} has what was found on disk, {@code whole}: that nothing of it was lost. */
    public Council(String self, long life, Shelf shelf, boolean whole, Effects effects) {
        this.self = self;
        this.life = life;
        this.shelf = shelf;
        this.whole = whole;
        this.effects = effects;
        shelf.held().keySet().forEach(call -> heldAt.put(call, Long.MIN_VALUE / 2));
        safe.addAll(shelf.held().keySet());
    }

    /**
     * How many stores there are, this one among them, and on how many disks a call has to be at the least.
     */
    public void members(int count, int copies) {
        members = count;
        enough = Math.max(count / 2 + 1, copies);
    }

    public boolean whole() {
        return whole;
    }

    // ---- The others --------------------------------------------------------------------------------
    /** All that is in force at another store has been told, up to now; {@code itsWhole}: it counts itself. */
    public void met(String other, boolean itsWhole, List<Item> items) {
        if (!shelf.merge(items).isEmpty()) {
            effects.changed();
        }
        if (itsWhole) {
            merged.add(other);
        }
        // Whatever was acknowledged with us is on enough - 1 others: of these we have to have met one.
        if (!whole && merged.size() >= members - enough + 1) {
            whole = true;
            effects.log("whole again, with " + shelf.inForce().size() + " items");
            effects.changed();
        }
    }

    /** Another store cannot be reached any more: what comes into force there is not known here. */
    public void lost(String other) {
        if (whole) {
            merged.remove(other);
        }
    }

    /** Whether nothing that is acknowledged can be unknown here. */
    public boolean current() {
        return whole && merged.size() + 1 >= enough;
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
        List<Item> news = shelf.news(items);
        Shelf.Verdict verdict = shelf.judge("", news);
        if (verdict == Shelf.Verdict.INVALID) {
            reply.accept(WRONG, shelf.problem());
        } else if (verdict == Shelf.Verdict.BUSY) {
            reply.accept(LATER, "another change is being made");
        } else if (news.isEmpty()) {
            reply.accept(GOOD, "{}"); // all of it is in force, or overtaken
        } else {
            bring(self + '/' + life + '/' + ++calls, news, reply);
        }
    }

    /** All items that stand, told to {@code reply} with the status. */
    public void read(BiConsumer<Integer, String> reply) {
        if (current() && shelf.held().isEmpty()) {
            reply.accept(GOOD, Change.write(shelf.inForce()));
        } else {
            reply.accept(LATER, "too few of the others can be reached, or a change is being made");
        }
    }

    private void bring(String call, List<Item> items, BiConsumer<Integer, String> reply) {
        rounds.put(call, new Round(items, reply, new HashMap<>(), now));
        effects.propose(call, items);
        asked(now, self, call, items);
    }

    /** Another store, or this one, asks us to hold a call. */
    public void asked(long time, String by, String call, List<Item> items) {
        now = time;
        if (!whole) {
            voted(by, call, Vote.UNABLE);
        } else if (safe.contains(call)) {
            voted(by, call, Vote.HELD);
        } else if (shelf.holds(call)) {
            asking.computeIfAbsent(call, name -> new HashSet<>()).add(by);
        } else {
            Shelf.Verdict verdict = shelf.judge(call, items);
            if (verdict != Shelf.Verdict.GOOD) {
                voted(by, call, verdict == Shelf.Verdict.BUSY ? Vote.BUSY : Vote.INVALID);
                return;
            }
            shelf.hold(call, items);
            heldAt.put(call, now);
            asking.computeIfAbsent(call, name -> new HashSet<>()).add(by);
            effects.keepHeld(call, items);
        }
    }

    /** The disk has kept a call that is held, or cannot. */
    public void kept(long time, String call, boolean done) {
        now = time;
        Set<String> who = asking.remove(call);
        if (shelf.holds(call)) {
            if (done) {
                safe.add(call);
            } else {
                shelf.decide(call, false, List.of());
                heldAt.remove(call);
            }
        }
        if (who != null) {
            who.forEach(by -> voted(by, call, done ? Vote.HELD : Vote.UNABLE));
        }
    }

    private void voted(String by, String call, Vote vote) {
        if (by.equals(self)) {
            counted(now, self, call, vote);
        } else {
            effects.vote(by, call, vote);
        }
    }

    /** A store has said what it makes of a call. */
    public void counted(long time, String by, String call, Vote vote) {
        now = time;
        Round round = rounds.get(call);
        if (round == null) {
            return;
        }
        round.votes.put(by, vote);
        long good = round.votes.values().stream().filter(Vote.HELD::equals).count();
        if (good >= enough) {
            end(call, true);
        } else if (members - (round.votes.size() - good) < enough) {
            end(call, false);
        }
    }

    private void end(String call, boolean good) {
        Round round = rounds.remove(call);
        // Where it failed for want of others it may still be held by one that was not heard: what follows
        // from that is settled when it is brought again, so only a clear no drops it.
        boolean clear = good || round.votes.containsValue(Vote.BUSY)
                || round.votes.containsValue(Vote.INVALID);
        if (!good) {
            effects.log("not decided: " + call + ' ' + round.votes);
        }
        if (clear) {
            List<Item> items = good ? round.items : List.of();
            decided(call, good, items);
            if (good) {
                round.reply.accept(GOOD, "{}");
            }
            effects.tell(call, good, items);
        }
        if (!good) {
            round.reply.accept(LATER, "too few stores could keep the change");
        }
    }

    /** A call is in force, or dropped. */
    public void decided(String call, boolean inForce, List<Item> items) {
        heldAt.remove(call);
        safe.remove(call);
        long before = shelf.changes();
        shelf.decide(call, inForce, items);
        effects.keepDecided(call, inForce, items);
        if (shelf.changes() != before) {
            effects.changed();
        }
    }

    /** Ends rounds that have no end, and brings again what is held and was not decided on. */
    public void look(long time) {
        now = time;
        for (Map.Entry<String, Round> entry : List.copyOf(rounds.entrySet())) {
            if (now - entry.getValue().since() > ROUND && rounds.containsKey(entry.getKey())) {
                end(entry.getKey(), false);
            }
        }
        if (!current()) {
            return;
        }
        for (Map.Entry<String, Long> entry : List.copyOf(heldAt.entrySet())) {
            String call = entry.getKey();
            if (now - entry.getValue() > UNDECIDED && shelf.holds(call) && !rounds.containsKey(call)) {
                heldAt.put(call, now + ROUND);
                bring(call, new ArrayList<>(shelf.held().get(call)), (status, line) -> { });
            }
        }
    }
}
