package reedmux.item;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * One store's part in deciding on the operator's calls, in two phases as in 3PC. Once {@code enough} stores
 * hold a call safe on their disks, each having found it valid beside what it has, it is precommitted; once
 * that is on the disks of {@code enough}, it is in force and acknowledged. Any two such sets share a store,
 * so that two calls which are valid apart and invalid together are never both acknowledged; and where disks
 * are lost, what may have been acknowledged is told from what contends by what is precommitted. A call
 * that nobody decided on is brought again, under a higher ballot, by whoever holds it: a store that has taken
 * part in one ballot heeds none below it, so that a call which one attempt may have brought into force is not
 * dropped by another. A store that lost its disk counts for nothing until it has met so many of the others
 * that nothing acknowledged can be missing, and then holds what these hold. What needs no round of its own
 * (a read, a call that changes nothing, a refusal) is answered after a contact: a quorum has told, since the
 * call came, all that is in force there, once nothing was held any more of what it held then. Pure: what is
 * to be done is told to {@link Effects}.
 */
public final class Agreement {
    /** A call that was not decided on for so long is brought again, in microseconds. */
    private static final long UNDECIDED = 250_000;
    /** Who is later in the order of those that can be reached waits so much longer with that. */
    private static final long TURN = 300_000;
    /** Of two calls that contend, and of which neither can end, one gives way after so long, by turns. */
    private static final long CONTENDED = 200_000;
    /** A round that has no end by then has failed. */
    private static final long ROUND = 800_000;

    public static final int GOOD = 200;
    public static final int WRONG = 400;
    public static final int CONFLICT = 409;
    public static final int LATER = 503;

    /** What is said later than a link may be silent is not read: ballots matter no longer than that. */
    private static final long BALLOT = 10_000_000;
    /** Of calls that were dropped, as a store that was away may bring them again. */
    private static final int MOST_DROPPED = 4096;
    /** How often a call is brought, where it was dropped for what was missing or in its way. */
    private static final int TRIES = 3;

    /** Somebody, where votes were given before this process or with a disk that is lost. */
    private static final String UNKNOWN = "?";

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
        PASSED,
        /** Another content was taken under one of its revisions, so that it can never come into force. */
        CONFLICT,
        /** It is on the disk, and was found to be held by a quorum in an earlier attempt. */
        PRECOMMITTED
    }

    /** What is to be done. */
    public interface Effects {

        /** Asks all others that can be reached to hold a call. */
        void propose(Proposal proposal);

        void vote(String to, String call, Ballot ballot, Vote vote);

        /** Asks all others that can be reached for contact; ends as {@link Agreement#confirmed}. */
        void confirm(long id, boolean settled);

        /** Says that we were asked, behind all that is in force here now. */
        void confirmed(String to, long id);

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
    /** The highest ballot that was seen of each call, also of those that we do not hold, and when. */
    private final Map<String, Ballot> seen = new HashMap<>();

    private final Map<String, Long> seenAt = new LinkedHashMap<>();
    private final Set<String> dropped = new LinkedHashSet<>();
    private final Map<Long, Contact> contacts = new LinkedHashMap<>();
    private final List<Asked> confirming = new ArrayList<>();
    /** Who has to be told our vote once a call is on disk, and under which ballot. */
    private final Map<String, Map<String, Ballot>> asking = new LinkedHashMap<>();
    /** Others that we are in touch with, and whose items we have merged since. */
    private final Set<String> merged = new HashSet<>();
    /** What those hold, until we are whole: by then all is merged that is in force. */
    private final List<Proposal> heldElsewhere = new ArrayList<>();

    private boolean whole;
    /** Whether the disk had been lost when this process started. */
    private boolean mended;

    private boolean fenced;
    private long provenAt = -1;
    private final Map<String, Set<String>> votedFor = new HashMap<>();
    private final Map<String, Set<String>> doubts = new HashMap<>();
    private long calls;
    private long ids;
    private long now;

    /** What the operator asked for, and since when. */
    private record Order(List<Item> items, BiConsumer<Integer, String> reply, long since) {}

    /** One call on its way; {@code order}: whose, or null where nobody waits for it. */
    private record Round(Proposal proposal, Order order, Map<String, Vote> votes, long since, int tries) {}

    /** Who was in touch since it began, and what was held here then and still is. */
    private record Contact(Set<String> by, Set<String> held, long since, Consumer<Boolean> done) {}

    /** Another store waits until nothing of that is held here any more. */
    private record Asked(String by, long id, Set<String> held, long since) {}

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
            votedFor.put(proposal.call(), new HashSet<>(Set.of(UNKNOWN)));
            seen(proposal.call(), proposal.ballot());
        });
    }

    /** Which stores decide from now on; calls and contacts on their way begin again, under their rules. */
    public void quorum(Quorum of) {
        quorum = of;
        doubts.clear();
        if (mended) {
            whole = quorum.blocked(merged);
        }
        List<Contact> under = List.copyOf(contacts.values());
        contacts.clear();
        under.forEach(contact -> begin(contact.since, true, contact.done));
        for (Round round : List.copyOf(rounds.values())) {
            bring(further(round.proposal), round.order, round.since, round.tries);
        }
    }

    /** While the core is being changed nothing is held that is not held already. */
    public void fence(boolean on) {
        fenced = on;
    }

    /** Whose attempts a call that is held has had our vote in. */
    public List<String> votedFor(String call) {
        return List.copyOf(votedFor.getOrDefault(call, Set.of(UNKNOWN)));
    }

    /**
     * Takes over all that a fenced store has. What cannot be held beside what is held here stays in doubt,
     * with those who may have decided on it.
     */
    public void handed(long time, List<Item> items, List<Proposal> held, List<List<String>> deciders) {
        now = time;
        if (!replica.merge(items).isEmpty()) {
            effects.changed();
        }
        for (int i = 0; i < held.size(); i++) {
            String call = held.get(i).call();
            takeOver(held.get(i));
            if (!replica.holds(call) && !dropped.contains(call)) {
                doubts.computeIfAbsent(call, name -> new HashSet<>()).addAll(deciders.get(i));
            }
        }
    }

    /**
     * Whether nothing in doubt was decided on: all who could have are fenced, and have told us that
     * they hold it.
     */
    public boolean settled(Set<String> handed) {
        return doubts.values().stream().allMatch(handed::containsAll);
    }

    public boolean whole() {
        return whole;
    }

    // ---- The others --------------------------------------------------------------------------------
    /** All that is in force at another store has been told, up to now; {@code itsWhole}: it counts itself. */
    public void met(long time, String other, boolean itsWhole, List<Item> items, List<Proposal> held) {
        now = time;
        boolean before = current();
        if (!replica.merge(items).isEmpty()) {
            effects.changed();
        }
        if (itsWhole && !whole) {
            heldElsewhere.addAll(held);
        }
        if (itsWhole) {
            merged.add(other);
        }
        // Whatever was acknowledged with us is on others of a quorum: of these we have to have met one.
        if (!whole && quorum.blocked(merged)) {
            whole = true;
            mended = true;
            takeOver(heldElsewhere);
            heldElsewhere.clear();
            effects.log("whole again, with " + replica.inForce().size() + " items");
            effects.changed();
        }
        if (!before && current()) {
            bringAgain(); // what a start has found held waits for nobody
        }
    }

    /** What is precommitted goes before what contends with it: only that may have been acknowledged. */
    private void takeOver(List<Proposal> held) {
        for (Proposal proposal : held) {
            if (proposal.precommitted()) {
                takeOver(proposal);
            }
        }
        held.forEach(this::takeOver);
    }

    /**
     * What another store holds may have been acknowledged with our vote, before our disk was lost: so it is
     * held here, too.
     */
    private void takeOver(Proposal proposal) {
        if (!replica.holds(proposal.call())
                && replica.judge(proposal.call(), proposal.items()) == Replica.Verdict.GOOD) {
            votedFor.put(proposal.call(), new HashSet<>(Set.of(UNKNOWN)));
            hold(proposal);
        }
    }

    private void hold(Proposal proposal) {
        seen(proposal.call(), proposal.ballot());
        Proposal next = precommitted(proposal.call()) ? proposal.precommit() : proposal;
        if (next.precommitted() && !precommitted(next.call())) {
            safe.remove(next.call()); // what is on the disk does not say so
        }
        replica.hold(next);
        heldAt.put(next.call(), now);
        effects.keepHeld(next);
    }

    private boolean precommitted(String call) {
        Proposal held = replica.held().get(call);
        return held != null && held.precommitted();
    }

    private void seen(String call, Ballot ballot) {
        Ballot had = seen.get(call);
        if (had == null || ballot.compareTo(had) > 0) {
            seen.put(call, ballot);
        }
        seenAt.remove(call);
        seenAt.put(call, now); // the latest last
    }

    private void forget() {
        Iterator<Map.Entry<String, Long>> oldest = seenAt.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<String, Long> entry = oldest.next();
            if (now - entry.getValue() < BALLOT) {
                break;
            } else if (!replica.holds(entry.getKey())) {
                oldest.remove();
                seen.remove(entry.getKey());
            }
        }
        Iterator<String> first = dropped.iterator();
        while (dropped.size() > MOST_DROPPED) {
            first.next();
            first.remove();
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
        if (!current()) {
            List<Contact> over = List.copyOf(contacts.values());
            contacts.clear();
            over.forEach(contact -> contact.done.accept(false));
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

    // ---- Contact with a quorum ---------------------------------------------------------------------
    /**
     * {@code done} hears whether a quorum was in touch with us since now; if {@code settled}, all is merged
     * then that was acknowledged before.
     */
    public void contact(long time, boolean settled, Consumer<Boolean> done) {
        now = time;
        begin(now, settled, done);
    }

    private void begin(long since, boolean settled, Consumer<Boolean> done) {
        if (!current() || now - since > ROUND) {
            done.accept(false);
            return;
        }
        long id = ++ids;
        contacts.put(
                id,
                new Contact(
                        new HashSet<>(Set.of(self)),
                        settled ? new HashSet<>(replica.held().keySet()) : new HashSet<>(),
                        since,
                        done));
        effects.confirm(id, settled);
        reached(id);
    }

    /** When the last contact began that reached a quorum; below nought where none has. */
    public long provenAt() {
        return provenAt;
    }

    private void reached(long id) {
        Contact contact = contacts.get(id);
        if (contact != null && whole && contact.held.isEmpty() && quorum.reached(contact.by)) {
            contacts.remove(id);
            provenAt = Math.max(provenAt, contact.since);
            contact.done.accept(true);
        }
    }

    /** Another store asks whether we are in touch. */
    public void confirm(long time, String by, long id, boolean settled) {
        now = time;
        if (!whole) {
            return; // it may lack what was acknowledged
        }
        if (!settled || replica.held().isEmpty()) {
            effects.confirmed(by, id);
        } else {
            confirming.add(new Asked(by, id, new HashSet<>(replica.held().keySet()), now));
        }
    }

    /** Another store was in touch since we asked, and all is merged that was in force there. */
    public void confirmed(long time, String by, long id) {
        now = time;
        Contact contact = contacts.get(id);
        if (contact != null) {
            contact.by.add(by);
            reached(id);
        }
    }

    /** A call is not held any more. */
    private void released(String call) {
        Iterator<Asked> waiting = confirming.iterator();
        while (waiting.hasNext()) {
            Asked asked = waiting.next();
            if (asked.held.remove(call) && asked.held.isEmpty()) {
                waiting.remove();
                effects.confirmed(asked.by, asked.id);
            }
        }
        for (Map.Entry<Long, Contact> entry : List.copyOf(contacts.entrySet())) {
            if (entry.getValue().held.remove(call)) {
                reached(entry.getKey());
            }
        }
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
        if (current()) {
            attempt(new Order(items, reply, now), false, 1);
        } else {
            reply.accept(LATER, "too few of the others can be reached");
        }
    }

    /** {@code settled}: all is known here that was acknowledged before the order came. */
    private void attempt(Order order, boolean settled, int tries) {
        List<Item> news = replica.news(order.items);
        Replica.Verdict verdict = replica.judge("", order.items);
        if (verdict == Replica.Verdict.GOOD && !news.isEmpty()) {
            Proposal proposal = new Proposal(self + '/' + life + '/' + ++calls, new Ballot(1, self), news);
            bring(proposal, order, order.since, tries);
        } else if (!settled || verdict == Replica.Verdict.BUSY) {
            again(order, tries);
        } else if (verdict == Replica.Verdict.GOOD) {
            order.reply.accept(GOOD, "{}"); // all of it is in force, or overtaken
        } else if (verdict == Replica.Verdict.FORGOTTEN) {
            order.reply.accept(LATER, "a revision is too old to be known");
        } else {
            order.reply.accept(verdict == Replica.Verdict.CONFLICT ? CONFLICT : WRONG, replica.problem());
        }
    }

    private void again(Order order, int tries) {
        begin(order.since, true, reached -> {
            if (reached) {
                attempt(order, true, tries);
            } else {
                order.reply.accept(LATER, "too few of the others can be reached, or a change is being made");
            }
        });
    }

    /** All items that stand, told to {@code reply} with the status. */
    public void read(long time, BiConsumer<Integer, String> reply) {
        now = time;
        begin(now, true, reached -> {
            if (reached) {
                reply.accept(GOOD, Change.write(replica.inForce()));
            } else {
                reply.accept(LATER, "too few of the others can be reached, or a change is being made");
            }
        });
    }

    private void bring(Proposal proposal, Order order, long since, int tries) {
        rounds.put(proposal.call(), new Round(proposal, order, new HashMap<>(), since, tries));
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
        } else if (dropped.contains(call)) {
            voted(by, call, ballot, Vote.BUSY);
            return;
        }
        seen(call, ballot);
        if (fenced && (!replica.holds(call) || proposal.precommitted() && !precommitted(call))) {
            voted(by, call, ballot, Vote.BUSY);
            return;
        }
        if (ballot.equals(safe.get(call)) && (!proposal.precommitted() || precommitted(call))) {
            voted(by, call, ballot, Vote.HELD);
            return;
        }
        Replica.Verdict verdict = replica.judge(call, proposal.items()); // good where it is held already
        if (verdict != Replica.Verdict.GOOD) {
            voted(
                    by,
                    call,
                    ballot,
                    verdict == Replica.Verdict.INVALID
                            ? Vote.INVALID
                            : verdict == Replica.Verdict.CONFLICT ? Vote.CONFLICT : Vote.BUSY);
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
                released(call);
            }
        }
        Map<String, Ballot> who = asking.getOrDefault(call, Map.of());
        for (Map.Entry<String, Ballot> one : List.copyOf(who.entrySet())) {
            if (one.getValue().compareTo(ballot) <= 0) {
                who.remove(one.getKey());
                voted(
                        one.getKey(),
                        call,
                        one.getValue(),
                        !done
                                ? Vote.UNABLE
                                : passed(call, one.getValue())
                                                || !one.getValue().equals(ballot)
                                        ? Vote.PASSED
                                        : Vote.HELD);
            }
        }
        if (who.isEmpty()) {
            asking.remove(call);
        }
    }

    private void voted(String by, String call, Ballot ballot, Vote vote) {
        Vote told = vote;
        if (vote == Vote.HELD) {
            votedFor.computeIfAbsent(call, name -> new HashSet<>()).add(by);
            told = precommitted(call) ? Vote.PRECOMMITTED : Vote.HELD;
        }
        if (by.equals(self)) {
            counted(now, self, call, ballot, told);
        } else {
            effects.vote(by, call, ballot, told);
        }
    }

    /** A store has said what it makes of a call. */
    public void counted(long time, String by, String call, Ballot ballot, Vote vote) {
        now = time;
        Round round = rounds.get(call);
        if (round == null || fenced || !round.proposal.ballot().equals(ballot)) {
            return; // while fenced nothing is decided; it is brought again under the next core
        }
        round.votes.put(by, vote);
        Set<String> good = new HashSet<>();
        Set<String> against = new HashSet<>();
        Set<String> without = new HashSet<>();
        round.votes.forEach((store, each) -> {
            (each == Vote.HELD || each == Vote.PRECOMMITTED ? good : without).add(store);
            if (each == Vote.BUSY || each == Vote.INVALID) {
                against.add(store);
            }
        });
        if (vote == Vote.CONFLICT) {
            end(call, false, true);
        } else if (quorum.reached(good)) {
            // Where another holds what cannot stand beside it, that one is decided on first.
            if (!round.votes.containsValue(Vote.BUSY)) {
                if (round.proposal.precommitted()) {
                    end(call, true, true);
                } else {
                    bring(further(round.proposal.precommit()), round.order, round.since, round.tries);
                }
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
            if (good && round.order != null) {
                round.order.reply.accept(GOOD, "{}");
            }
            effects.tell(call, round.proposal.ballot(), good, items);
        }
        if (good || round.order == null) {
            return;
        } else if (clear && round.tries < TRIES) {
            again(round.order, round.tries + 1); // what was missing, or in its way, is known then
        } else {
            round.order.reply.accept(LATER, "too few stores could keep the change");
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
        votedFor.remove(call);
        doubts.remove(call);
        long before = replica.changes();
        replica.decide(call, inForce, items);
        if (!inForce) {
            dropped.add(call);
        }
        effects.keepDecided(call, ballot, inForce, items);
        if (replica.changes() != before) {
            effects.changed();
        }
        released(call);
    }

    /** Ends rounds that have no end, and brings again what is held and was not decided on. */
    public void look(long time) {
        now = time;
        for (Map.Entry<String, Round> entry : List.copyOf(rounds.entrySet())) {
            Round round = entry.getValue();
            if (now - round.since > ROUND) {
                end(entry.getKey(), false, false);
            } else if (now - round.since > CONTENDED * (1 + turn()) && givesWay(round)) {
                end(entry.getKey(), false, true);
            } else if (round.votes.containsValue(Vote.BUSY) && current()) {
                // What was in its way may be decided by now.
                bring(further(round.proposal), round.order, round.since, round.tries);
            }
        }
        for (Map.Entry<Long, Contact> entry : List.copyOf(contacts.entrySet())) {
            if (now - entry.getValue().since > ROUND && contacts.remove(entry.getKey()) != null) {
                entry.getValue().done.accept(false);
            }
        }
        while (!confirming.isEmpty() && now - confirming.get(0).since > ROUND) {
            confirming.remove(0);
        }
        forget();
        if (current()) {
            bringAgain();
        }
    }

    /** How many that are in touch come before us. */
    private long turn() {
        return merged.stream().filter(other -> other.compareTo(self) < 0).count();
    }

    /**
     * Whether a call that contends with another may be dropped for it: a quorum has answered this attempt,
     * heeds none below it, and has not precommitted the call, so that no attempt before can bring it into
     * force.
     */
    private boolean givesWay(Round round) {
        if (fenced
                || round.proposal.precommitted()
                || !round.votes.containsValue(Vote.BUSY)
                || round.votes.containsValue(Vote.PRECOMMITTED)) {
            return false;
        }
        Set<String> answered = new HashSet<>();
        round.votes.forEach((store, vote) -> {
            if (vote == Vote.HELD || vote == Vote.BUSY || vote == Vote.INVALID) {
                answered.add(store);
            }
        });
        return quorum.reached(answered);
    }

    private void bringAgain() {
        long turn = UNDECIDED + TURN * turn();
        for (Map.Entry<String, Long> entry : List.copyOf(heldAt.entrySet())) {
            Proposal proposal = replica.held().get(entry.getKey());
            if (now - entry.getValue() > turn && proposal != null && !rounds.containsKey(proposal.call())) {
                heldAt.put(proposal.call(), now + ROUND);
                bring(further(proposal), null, now, TRIES);
            }
        }
    }
}
