package reedmux.store;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import reedmux.boot.Boot;
import reedmux.boot.BootException;
import reedmux.config.Addresses;
import reedmux.item.Change;
import reedmux.item.Invalid;
import reedmux.item.Item;
import reedmux.item.Shelf;
import reedmux.link.Codec;
import reedmux.link.Dialer;
import reedmux.link.Link;
import reedmux.link.Messages.Adjust;
import reedmux.link.Messages.Decided;
import reedmux.link.Messages.Hello;
import reedmux.link.Messages.Items;
import reedmux.link.Messages.Outcome;
import reedmux.link.Messages.Propose;
import reedmux.link.Messages.Pull;
import reedmux.link.Messages.Read;
import reedmux.link.Messages.Vote;
import reedmux.link.Messages.Voted;
import reedmux.net.Listener;
import reedmux.net.Reactor;

/**
 * Keeps the items of the configuration on this machine's disk and, with the stores of the other machines,
 * decides on the operator's calls. A call is acknowledged once enough stores hold it safe on their disks
 * and each of them found it valid beside what it has; any two such sets share a store. It is in force from
 * then on.
 */
public final class Store implements Link.Owner {
    private static final String PROGRAM = "store";
    /** A call that was not decided on by whoever brought it is brought again by the one that holds it. */
    private static final long UNDECIDED = 250_000;
    private static final long ROUND = 800_000;
    private static final long COMPACT_AT = 4L * 1024 * 1024;
    private static final int GOOD = 200;
    private static final int WRONG = 400;
    private static final int LATER = 503;

    private final Boot boot;
    private final Reactor reactor;
    private final Codec codec = new Codec();
    private final Hello self;
    private final Shelf shelf = new Shelf();
    private final Keeper keeper;
    private final int enough;
    private final int members;
    private final Map<InetSocketAddress, Dialer> others = new HashMap<>();
    /** Others whose items were merged since our start, by their address. */
    private final Set<String> merged = new HashSet<>();
    private final Map<String, long[]> vector = new HashMap<>();
    private final Set<Link> pulling = new HashSet<>();
    private final Map<String, Round> rounds = new HashMap<>();
    private final Map<String, Long> heldAt = new HashMap<>();
    /** Calls that are held and on our disk. */
    private final Set<String> safe = new HashSet<>();
    /** Whether we have all that was ever acknowledged and counted us among those that hold it. */
    private boolean whole;
    private long calls;

    /** One call on its way. */
    private final class Round {
        private final String call;
        private final List<Item> items;
        private final Consumer<Outcome> reply;
        private final Map<String, Vote> votes = new HashMap<>();
        private boolean over;

        Round(String call, List<Item> items, Consumer<Outcome> reply) {
            this.call = call;
            this.items = items;
            this.reply = reply;
        }
    }

    /** Who pulls, and from where on. */
    private record Waiting(long since) { }

    public Store(Boot boot, Reactor reactor) throws BootException, IOException {
        this.boot = boot;
        this.reactor = reactor;
        if (boot.dataDir() == null) {
            throw new BootException(boot.file() + ": dataDir is missing: a store needs a disk");
        }
        self = new Hello(reedmux.link.Messages.FORM, PROGRAM, boot.node(), boot.ip(), boot.zone(),
                System.nanoTime() ^ (long) boot.node().hashCode() << 32);
        members = Core.machines(boot, true).size();
        enough = Math.max(members / 2 + 1, Math.min(members,
                (int) boot.figure("tolerance.machines", 1) + 1));
        keeper = new Keeper(boot.dataDir(), reactor, codec, shelf);
        whole = keeper.load(boot.coldStart());
        if (!whole) {
            reactor.log("the disk is empty, and this is not the first start: asking the others");
        }
        shelf.held().keySet().forEach(call -> heldAt.put(call, 0L));
        safe.addAll(shelf.held().keySet());
        for (InetSocketAddress other : Core.others(boot, boot.storePort())) {
            others.put(other, new Dialer(reactor, codec, self, other, this));
        }
        new Listener(reactor, Addresses.parse(boot.ip() + ':' + boot.storePort()),
                wire -> Link.of(reactor, codec, self, wire, this));
        reactor.every(UNDECIDED / 2, this::bringAgain);
    }

    // ---- Links -------------------------------------------------------------------------------------
    @Override
    public void up(Link link) {
        if (link.other().program().equals(PROGRAM) && dialled(link)) {
            pull(link);
        }
    }

    private boolean dialled(Link link) {
        return others.values().stream().anyMatch(dialer -> dialer.link() == link);
    }

    private void pull(Link link) {
        long[] from = vector.getOrDefault(link.other().node(), new long[] {0, 0});
        link.say(new Pull(from[0], from[1]));
    }

    @Override
    public void down(Link link) {
        pulling.remove(link);
        if (whole) { // what comes into force there meanwhile is not known here
            others.values().stream().filter(other -> other.link() == null)
                    .forEach(other -> merged.remove(other.to().getAddress().getHostAddress()));
        }
    }

    @Override
    public void told(Link link, Object message) {
        if (message instanceof Pull pull) {
            link.note(new Waiting(pull.life() == self.life() ? pull.since() : -1));
            pulling.add(link);
            answer(link);
        } else if (message instanceof Items items) {
            take(link, items);
        } else if (message instanceof Propose propose) {
            vote(propose, vote -> link.say(new Voted(propose.call(), vote)));
        } else if (message instanceof Voted voted) {
            count(voted.call(), link.other().node(), voted.vote());
        } else if (message instanceof Decided decided) {
            decide(decided);
        } else if (message instanceof Adjust adjust) {
            adjust(adjust, link::say);
        } else if (message instanceof Read read) {
            link.say(read(read.id()));
        }
    }

    private void answer(Link link) {
        Waiting waiting = link.note();
        if (waiting != null && (waiting.since() < 0 || shelf.changes() > waiting.since())) {
            link.note(null);
            pulling.remove(link);
            link.say(new Items(self.life(), shelf.changes(), whole, shelf.since(Math.max(0,
                    waiting.since()))));
        }
    }

    private void changed() {
        List.copyOf(pulling).forEach(this::answer);
    }

    /** Another store tells what is in force there. */
    private void take(Link link, Items told) {
        vector.put(link.other().node(), new long[] {told.life(), told.upTo()});
        List<Item> news = shelf.merge(told.items());
        if (!news.isEmpty()) {
            keeper.merged(news);
            changed();
        }
        if (told.whole()) {
            merged.add(link.other().ip());
        }
        // Whatever was acknowledged without us is on enough others, of which we have to have met one.
        if (!whole && merged.size() >= members - enough + 1) {
            whole = true;
            keeper.whole();
            reactor.log("whole again, with " + shelf.inForce().size() + " items");
            changed();
        }
        pull(link);
    }

    // ---- The operator's calls ----------------------------------------------------------------------
    private void adjust(Adjust adjust, Consumer<Object> answer) {
        List<Item> items;
        try {
            items = Change.read(adjust.body());
        } catch (Invalid e) {
            answer.accept(new Outcome(adjust.id(), WRONG, e.getMessage()));
            return;
        }
        if (!current()) {
            answer.accept(new Outcome(adjust.id(), LATER, "too few of the others can be reached"));
            return;
        }
        List<Item> news = shelf.news(items);
        Shelf.Verdict verdict = shelf.judge("", news);
        if (verdict == Shelf.Verdict.INVALID) {
            answer.accept(new Outcome(adjust.id(), WRONG, shelf.problem()));
            return;
        } else if (verdict == Shelf.Verdict.BUSY) {
            answer.accept(new Outcome(adjust.id(), LATER, "another change is being made"));
            return;
        } else if (news.isEmpty()) {
            answer.accept(new Outcome(adjust.id(), GOOD, "{}")); // all of it is in force, or overtaken
            return;
        }
        bring(boot.node() + '/' + self.life() + '/' + ++calls, news,
                outcome -> answer.accept(new Outcome(adjust.id(), outcome.status(), outcome.body())));
    }

    /** Whether we have met so many since our start that nothing acknowledged can be unknown here. */
    private boolean current() {
        long up = others.values().stream().filter(other -> other.link() != null
                && merged.contains(other.to().getAddress().getHostAddress())).count();
        return whole && up + 1 >= enough;
    }

    private Outcome read(long id) {
        return current() && shelf.held().isEmpty() ? new Outcome(id, GOOD, Change.write(shelf.inForce()))
                : new Outcome(id, LATER, "too few of the others can be reached, or a change is being made");
    }

    private void bring(String call, List<Item> items, Consumer<Outcome> reply) {
        if (rounds.containsKey(call)) {
            return;
        }
        Round round = new Round(call, items, reply);
        rounds.put(call, round);
        Propose propose = new Propose(call, items);
        for (Dialer other : others.values()) {
            if (other.link() != null) {
                other.link().say(propose);
            }
        }
        vote(propose, vote -> count(call, boot.node(), vote));
        reactor.after(ROUND, () -> end(round, false));
    }

    private void vote(Propose propose, Consumer<Vote> tell) {
        if (shelf.holds(propose.call())) {
            tell.accept(whole && safe.contains(propose.call()) ? Vote.HELD : Vote.UNABLE);
            return;
        }
        Shelf.Verdict verdict = shelf.judge(propose.call(), propose.items());
        if (verdict != Shelf.Verdict.GOOD || !whole) {
            tell.accept(!whole ? Vote.UNABLE : verdict == Shelf.Verdict.BUSY ? Vote.BUSY : Vote.INVALID);
            return;
        }
        shelf.hold(propose.call(), propose.items());
        heldAt.put(propose.call(), reactor.now());
        keeper.held(propose, kept -> {
            if (kept) {
                safe.add(propose.call());
            } else if (shelf.holds(propose.call())) {
                shelf.decide(propose.call(), false, List.of());
                heldAt.remove(propose.call());
            }
            tell.accept(kept ? Vote.HELD : Vote.UNABLE);
        });
    }

    private void count(String call, String node, Vote vote) {
        Round round = rounds.get(call);
        if (round == null) {
            return;
        }
        round.votes.put(node, vote);
        long good = round.votes.values().stream().filter(Vote.HELD::equals).count();
        if (good >= enough) {
            end(round, true);
        } else if (members - (round.votes.size() - good) < enough) {
            end(round, false);
        }
    }

    private void end(Round round, boolean good) {
        if (round.over) {
            return;
        }
        round.over = true;
        rounds.remove(round.call);
        if (good) {
            round.reply.accept(new Outcome(0, GOOD, "{}"));
        } else {
            reactor.log("not decided: " + round.call + ' ' + round.votes);
            round.reply.accept(new Outcome(0, LATER, "too few stores could keep the change"));
        }
        // Where it failed for want of others it may still be held by one that was not heard: what follows
        // from that is settled when it is brought again, so only a clear no drops it.
        boolean clear = good || round.votes.containsValue(Vote.BUSY)
                || round.votes.containsValue(Vote.INVALID);
        if (clear) {
            Decided decided = new Decided(round.call, good, good ? round.items : List.of());
            others.values().stream().filter(other -> other.link() != null)
                    .forEach(other -> other.link().say(decided));
            decide(decided);
        }
    }

    private void decide(Decided decided) {
        heldAt.remove(decided.call());
        safe.remove(decided.call());
        long before = shelf.changes();
        shelf.decide(decided.call(), decided.inForce(), decided.items());
        keeper.decided(decided);
        if (shelf.changes() != before) {
            changed();
        }
    }

    /** Calls that are held and were not decided on: whoever brought them may be gone. */
    private void bringAgain() {
        if (!whole || others.values().stream().noneMatch(other -> other.link() != null) && members > 1) {
            return;
        }
        for (Map.Entry<String, Long> entry : List.copyOf(heldAt.entrySet())) {
            if (reactor.now() - entry.getValue() > UNDECIDED && shelf.holds(entry.getKey())) {
                heldAt.put(entry.getKey(), reactor.now() + ROUND);
                bring(entry.getKey(), new ArrayList<>(shelf.held().get(entry.getKey())), outcome -> { });
            }
        }
        if (keeper.length() > COMPACT_AT) {
            keeper.compact();
        }
    }
}
