package reedmux.registry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import reedmux.boot.Boot;
import reedmux.boot.BootException;
import reedmux.boot.Program;
import reedmux.config.Addresses;
import reedmux.fleet.Counter;
import reedmux.fleet.Fleet;
import reedmux.fleet.Incarnation;
import reedmux.item.Members;
import reedmux.link.Codec;
import reedmux.link.Dialer;
import reedmux.link.Link;
import reedmux.link.Messages;
import reedmux.link.Messages.Contacts;
import reedmux.link.Messages.CoreTold;
import reedmux.link.Messages.Hello;
import reedmux.link.Messages.Known;
import reedmux.link.Messages.News;
import reedmux.link.Messages.Outcome;
import reedmux.link.Messages.Pull;
import reedmux.link.Messages.Tell;
import reedmux.member.Session;
import reedmux.member.Sessions;
import reedmux.message.BadMessage;
import reedmux.message.Calls;
import reedmux.net.Listener;
import reedmux.net.Reactor;
import reedmux.store.Core;

/**
 * Takes the calls from outside, of checkers and of the operator, knows the lives of checkers and who of the
 * proxies holds a session, and tells both to whoever pulls. It keeps nothing on disk: after a loss of all
 * registries checkers and proxies tell again. The operator's calls go to a store, this machine's first.
 */
public final class Registry implements Program, Link.Owner {
    private static final String PROGRAM = "registry";
    private static final String PROXY = "proxy";
    private static final long SECOND = 1_000_000;
    /** How long the sessions of a registry that is gone still count. */
    private static final long LINGER = 2 * SECOND;
    /** Callers wait for a second, those with large bodies longer. */
    private static final long PATIENCE = 900_000;

    private static final long STORE_PATIENCE = 850_000;
    /** Checkers call about each {@code periodMs}; so many that are missing make one silent. */
    private static final int MISSED = 4;
    /** So long for each that pulls, news are gathered before they are told. */
    private static final long GATHER = 2_000;

    private static final long MOST_GATHER = 200_000;
    /** How many proxies tell of us those who cannot hear us, and us what we have forgotten. */
    private static final int WITNESSES = 3;

    private static final int GOOD = 200;
    private static final int LATER = 503;
    private static final String UNTOLD = "no other machine could be told";

    private final Boot boot;
    private final Reactor reactor;
    private final Codec codec = new Codec();
    private final Core core;
    private final Hello self;
    /** Numbers each change of lives and of sessions. */
    private final Counter counter = new Counter();

    private final Fleet fleet;
    private final Sessions sessions = new Sessions(LINGER, counter);
    private final List<Dialer> others = new ArrayList<>();
    private final List<Dialer> stores = new ArrayList<>();
    private final Map<String, long[]> vector = new HashMap<>();
    private final Set<Link> pulling = new LinkedHashSet<>();
    private final Pending<Link, Consumer<Outcome>> asked = new Pending<>();
    private final Pending<Link, Calls> telling = new Pending<>();
    /** Links of proxies, in the order in which they came up. */
    private final Set<Link> proxies = new LinkedHashSet<>();
    /** Those that were asked for the lives that they know, and how many of them knew none. */
    private final Set<String> askedBack = new HashSet<>();

    private int emptyBack;
    /** The answer to a heartbeat: it is to come here again, so that others need not be told of each. */
    private final String acknowledged;
    /** The last change that those who pull were or are about to be told of. */
    private long seen;

    private boolean flushing;

    private record Waiting(long since) {}

    public Registry(Boot boot, Reactor reactor) throws BootException, IOException {
        this.boot = boot;
        this.reactor = reactor;
        core = new Core(boot, true);
        self = new Hello(
                Messages.FORM,
                PROGRAM,
                boot.node(),
                boot.ip(),
                boot.zone(),
                reactor.draw() ^ (long) boot.node().hashCode() << 32,
                core.machines());
        fleet = new Fleet(self.life(), counter);
        acknowledged =
                "{\"beatTarget\":\"" + boot.ip() + ':' + boot.socket("control").getPort() + "\"}";
        if (boot.dataDir() != null) {
            new Memory(boot.dataDir().resolve("lives"), reactor, codec, fleet);
        }
        core.others(boot.registryPort()).forEach(other -> dial(others, other));
        dial(stores, Addresses.parse(boot.ip() + ':' + boot.storePort()));
        core.others(boot.storePort()).forEach(other -> dial(stores, other));
        new Listener(
                reactor,
                Addresses.parse(boot.ip() + ':' + boot.registryPort()),
                wire -> Link.of(reactor, codec, self, wire, this));
        new Listener(reactor, boot.socket("control"), wire -> new Calls(reactor, wire, this::call));
        long silence = MISSED * boot.millis("periodMs", 1500);
        reactor.every(SECOND, () -> beats(silence));
    }

    @Override
    public void leave() {
        reactor.end();
    }

    @Override
    public void reload(Boot next) {
        learn(new Core(next, false).machines());
    }

    private void learn(List<String> machines) {
        for (InetSocketAddress other : core.learn(machines, boot.registryPort())) {
            dial(others, other);
            dial(stores, new InetSocketAddress(other.getAddress(), boot.storePort()));
        }
    }

    /** A store tells of the core as it is agreed on: who is new is dialled, who has left is let go. */
    private void core(Members told) {
        Set<String> before = new HashSet<>(core.machines());
        if (!core.take(told)) {
            return;
        }
        for (List<Dialer> all : List.of(others, stores)) {
            for (Dialer gone : List.copyOf(all)) {
                if (core.gone(gone.to())
                        && !gone.to().getAddress().getHostAddress().equals(boot.ip())) {
                    all.remove(gone);
                    gone.end();
                }
            }
        }
        for (InetSocketAddress other : core.others(boot.registryPort())) {
            if (!before.contains(other.getAddress().getHostAddress())) {
                dial(others, other);
                dial(stores, new InetSocketAddress(other.getAddress(), boot.storePort()));
            }
        }
    }

    private void dial(List<Dialer> to, InetSocketAddress other) {
        to.add(new Dialer(reactor, codec, self, other, this));
    }

    private void beats(long silence) {
        int silent = fleet.sweep(reactor.now(), silence);
        if (silent > 0) {
            reactor.complain("silent", silent + " checkers have fallen silent");
        }
        List<Fleet.Contact> contacts = fleet.contacts(reactor.now());
        byte[] all = codec.write(new Contacts(contacts));
        boolean apart = false;
        for (Dialer other : others) {
            if (other.link() != null) {
                other.link().send(all);
            }
            apart |= other.link() == null;
        }
        if (apart) { // those who cannot hear us hear of us through proxies that both of us know
            byte[] own = codec.write(new Contacts(contacts.subList(0, 1)));
            witnesses().forEach(link -> link.send(own));
        }
        changed();
    }

    /** A few proxies, of zones that differ if they can be had. */
    private List<Link> witnesses() {
        Set<String> zones = new HashSet<>();
        List<Link> chosen = new ArrayList<>();
        for (Link link : proxies) {
            if (chosen.size() < WITNESSES && zones.add(link.other().zone())) {
                chosen.add(link);
            }
        }
        for (Link link : proxies) {
            if (chosen.size() < WITNESSES && !chosen.contains(link)) {
                chosen.add(link);
            }
        }
        return chosen;
    }

    /** A few of the proxies are to tell us the lives that they know, as we have just started. */
    private void askBack() {
        for (Link link : proxies) {
            if (askedBack.size() - emptyBack < WITNESSES
                    && askedBack.add(link.other().node())) {
                link.say(new Pull(0, 0));
            }
        }
    }

    // ---- Calls from outside ------------------------------------------------------------------------
    private void call(Calls.Call call, Calls from) {
        ControlCall command;
        try {
            command = ControlCall.of(call.head(), call.body());
        } catch (BadMessage e) {
            from.answer(e.status(), e.getMessage());
            return;
        }
        if (command instanceof ControlCall.Heartbeat heartbeat) {
            fleet.called(heartbeat.life(), reactor.now());
            known(heartbeat.life().id(), acknowledged, from);
        } else if (command instanceof ControlCall.Leave leave) {
            Incarnation before = fleet.get(leave.id(), reactor.now());
            if (before == null) { // all that can be known of it: that it is over
                before = new Incarnation(leave.id(), "", "0.0.0.0:0", "", 1, Incarnation.READY, 0, 0, false);
            }
            fleet.merge(
                    new Incarnation(
                            leave.id(),
                            before.plant(),
                            before.address(),
                            before.zone(),
                            before.capacity(),
                            Incarnation.GONE,
                            before.seq(),
                            0,
                            false),
                    reactor.now());
            known(leave.id(), "{}", from);
        } else if (command instanceof ControlCall.CoreLeave leave) {
            ask(0, id -> new Messages.Leave(id, leave.node()), from);
        } else if (command instanceof ControlCall.Adjust adjust) {
            ask(0, id -> new Messages.Adjust(id, adjust.body()), from);
        } else if (command instanceof ControlCall.Show show) {
            show(show, from);
        } else {
            ask(0, Messages.Read::new, from);
        }
    }

    /** A checker that leaves is acknowledged only once another machine knows, too. */
    private void known(String id, String good, Calls from) {
        Incarnation now = fleet.get(id, reactor.now());
        changed();
        if (now.phase() == Incarnation.READY || others.isEmpty()) {
            from.answer(GOOD, good);
            return;
        }
        List<Link> up =
                others.stream().map(Dialer::link).filter(link -> link != null).toList();
        if (up.isEmpty()) {
            from.answer(LATER, UNTOLD); // at once, so that it goes on to another
            return;
        }
        long number = telling.ask(up, from);
        up.forEach(link -> link.say(new Tell(number, List.of(now))));
        reactor.after(PATIENCE, () -> untold(telling.ended(number)));
    }

    private static void untold(Calls from) {
        if (from != null) {
            from.answer(LATER, UNTOLD);
        }
    }

    /** Asks a store, and where it cannot say, the next one. */
    private void ask(int store, java.util.function.LongFunction<Object> message, Calls from) {
        if (store >= stores.size()) {
            from.answer(LATER, "no store can be reached");
            return;
        }
        Link link = stores.get(store).link();
        if (link == null) {
            ask(store + 1, message, from);
            return;
        }
        long number = asked.ask(List.of(link), outcome -> {
            boolean next =
                    outcome.status() == LATER && message.apply(0) instanceof Messages.Read && store + 1 < stores.size();
            if (next) {
                ask(store + 1, message, from);
            } else {
                from.answer(outcome.status(), outcome.body());
            }
        });
        link.say(message.apply(number));
        reactor.after(STORE_PATIENCE, () -> unanswered(asked.ended(number), "the store does not answer"));
    }

    private static void unanswered(Consumer<Outcome> waits, String why) {
        if (waits != null) {
            waits.accept(new Outcome(0, LATER, why));
        }
    }

    /** What is known here, and what the nearest store says; answered in any case. */
    private void show(ControlCall.Show show, Calls from) {
        Link store = null;
        for (Dialer dialer : stores) { // this machine's first
            store = store == null ? dialer.link() : store;
        }
        if (store == null) {
            from.answer(GOOD, shown(show, null, "no store can be reached"));
            return;
        }
        long number = asked.ask(
                List.of(store),
                outcome -> from.answer(
                        GOOD,
                        outcome.status() == GOOD
                                ? shown(show, outcome.body(), "")
                                : shown(show, null, outcome.body())));
        store.say(new Messages.Show(number, show.what(), show.after(), show.limit()));
        reactor.after(STORE_PATIENCE, () -> unanswered(asked.ended(number), "the store does not answer"));
    }

    private String shown(ControlCall.Show show, String store, String why) {
        return new RegistryView(self, fleet, sessions, others, reactor.now()).text(show, store, why);
    }

    // ---- Links -------------------------------------------------------------------------------------
    @Override
    public void up(Link link) {
        String program = link.other().program();
        learn(link.other().core());
        if (program.equals(PROGRAM) && others.stream().anyMatch(other -> other.link() == link)) {
            long[] from = vector.getOrDefault(link.other().node(), new long[] {0, 0});
            if (from[0] == link.other().life()) {
                sessions.found(link.other().node());
            }
            link.say(new Pull(from[0], from[1]));
        } else if (program.equals(PROXY)) {
            sessions.begin(session(link));
            changed();
            proxies.add(link);
            askBack();
        }
    }

    private static Session session(Link link) {
        Hello other = link.other();
        return new Session(other.node(), other.ip(), other.zone(), other.life());
    }

    @Override
    public void down(Link link) {
        pulling.remove(link);
        telling.lost(link).forEach(Registry::untold);
        asked.lost(link).forEach(waits -> unanswered(waits, "the link to the store has ended"));
        proxies.remove(link);
        if (link.other() != null && link.other().program().equals(PROXY)) {
            sessions.end(session(link));
            changed();
        } else if (link.other() != null
                && others.stream()
                        .noneMatch(other -> other.link() != null
                                && other.link()
                                        .other()
                                        .node()
                                        .equals(link.other().node()))) {
            sessions.lost(link.other().node(), reactor.now());
        }
    }

    @Override
    public void told(Link link, Object message) {
        if (message instanceof Pull pull) {
            link.note(new Waiting(pull.life() == self.life() ? pull.since() : -1));
            pulling.add(link);
            if (pull.life() != self.life()) { // it knows nothing of us
                answer(link, null);
            } else if (counter.last() > pull.since()) {
                soon();
            }
        } else if (message instanceof News news) {
            vector.put(link.other().node(), new long[] {news.life(), news.upTo()});
            news.lives().forEach(life -> fleet.merge(life, reactor.now()));
            news.owned().forEach(owned -> fleet.owned(owned, reactor.now()));
            sessions.told(link.other().node(), news.sessions(), reactor.now());
            link.say(new Pull(news.life(), news.upTo()));
            changed();
        } else if (message instanceof Tell tell) {
            tell.lives().forEach(life -> fleet.merge(life, reactor.now()));
            if (link.other().program().equals(PROXY) && tell.lives().isEmpty()) {
                emptyBack++;
                askBack();
            }
            link.say(new Known(tell.id()));
            changed();
        } else if (message instanceof CoreTold told) {
            core(told.core());
        } else if (message instanceof Known known) {
            Calls waits = telling.answered(known.id(), link);
            if (waits != null) {
                waits.answer(GOOD, "{}");
            }
        } else if (message instanceof Contacts contacts) {
            contacts.heard().forEach(contact -> fleet.contact(contact, reactor.now()));
        } else if (message instanceof Outcome outcome) {
            Consumer<Outcome> waits = asked.answered(outcome.id(), link);
            if (waits != null) {
                waits.accept(outcome);
            }
        }
    }

    /** What has changed is numbered in one row, whether it is of lives or of sessions. */
    private void changed() {
        sessions.look(reactor.now());
        if (counter.last() != seen) {
            seen = counter.last();
            soon();
        }
    }

    /** Where many pull, as when all of them start, changes that come together are told together. */
    private void soon() {
        if (!flushing) {
            flushing = true;
            reactor.after(Math.min(sessions.ownSize() * GATHER, MOST_GATHER), this::flush);
        }
    }

    private void flush() {
        flushing = false;
        Map<Long, byte[]> written = new HashMap<>();
        List.copyOf(pulling).forEach(link -> answer(link, written));
    }

    /** {@code written}: what others who know as much were just told, by what they know; may be null. */
    private void answer(Link link, Map<Long, byte[]> written) {
        Waiting waiting = link.note();
        if (waiting == null || waiting.since() >= counter.last()) {
            return;
        }
        boolean registry = link.other().program().equals(PROGRAM);
        byte[] told = registry || written == null ? null : written.get(waiting.since());
        if (told == null) {
            sessions.look(reactor.now());
            News news = new News(
                    self.life(),
                    counter.last(),
                    fleet.since(waiting.since(), reactor.now()),
                    registry ? fleet.ownedSince(waiting.since()) : List.of(),
                    registry ? sessions.ownSince(waiting.since()) : sessions.viewSince(waiting.since()));
            if (news.lives().isEmpty()
                    && news.owned().isEmpty()
                    && news.sessions().none()) {
                // What has changed is not for it.
                link.note(new Waiting(counter.last()));
                return;
            }
            told = codec.write(news);
            if (!registry && written != null) {
                written.put(waiting.since(), told);
            }
        }
        link.note(null);
        pulling.remove(link);
        link.send(told);
    }
}
