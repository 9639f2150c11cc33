package reedmux.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import reedmux.attempt.Answer;
import reedmux.attempt.Event;
import reedmux.attempt.Exchange;
import reedmux.attempt.Requests;
import reedmux.attempt.Try;
import reedmux.boot.Boot;
import reedmux.boot.BootException;
import reedmux.boot.Program;
import reedmux.budget.RetryBudget;
import reedmux.choice.Roster;
import reedmux.config.Addresses;
import reedmux.fleet.Fleet;
import reedmux.fleet.Incarnation;
import reedmux.item.Bounds;
import reedmux.item.Members;
import reedmux.item.Poll;
import reedmux.item.Route;
import reedmux.item.Table;
import reedmux.item.Tenant;
import reedmux.link.Codec;
import reedmux.link.Dialer;
import reedmux.link.Link;
import reedmux.link.Messages;
import reedmux.link.Messages.Contacts;
import reedmux.link.Messages.CoreTold;
import reedmux.link.Messages.Current;
import reedmux.link.Messages.Hello;
import reedmux.link.Messages.Items;
import reedmux.link.Messages.News;
import reedmux.link.Messages.Piece;
import reedmux.link.Messages.Pull;
import reedmux.link.Messages.Resume;
import reedmux.link.Messages.Tell;
import reedmux.member.Sessions;
import reedmux.member.View;
import reedmux.message.Calls;
import reedmux.message.Head;
import reedmux.net.Datagrams;
import reedmux.net.Listener;
import reedmux.net.Reactor;
import reedmux.net.Wire;
import reedmux.quota.Quotas;
import reedmux.store.Core;

/**
 * Carries the traffic: clients on one side, checkers on the other, and what it has to know pulled from the
 * core.
 */
public final class Proxy implements Program, Link.Owner, Requests.Effects, ClientWire.Front {
    private static final String PROGRAM = "proxy";
    private static final long SECOND = 1_000_000;
    private static final long LINGER = 2 * SECOND;
    private static final long LOOK = SECOND / 4;
    /** Bodies that are held for all clients together; beyond that no further one is begun. */
    private static final int MOST_HELD = 24 * 1024 * 1024;
    /** A client is told to come back after so long where it is not its own quota that is in the way. */
    private static final long BACK = SECOND / 4;
    /** Entries in one datagram. */
    private static final int MOST_ENTRIES = 24;
    /** After SIGTERM new connections still come for about two seconds. */
    private static final long STAYS = 3 * SECOND;

    private static final int DESCRIPTORS_KEPT = 400;
    /** So long after a change of the bounds clients may still go by the ones before. */
    private static final long NARROWS = 5 * SECOND;
    /** A look that comes so late was held up, and what came in meanwhile has not been read. */
    private static final long HELD_UP = SECOND;
    /** Of further tries, where the settings file does not say. */
    private static final double RATIO = 0.1;

    private static final double SLACK = 10;
    /** After so long without a store that has a quorum, what the others tell is served. */
    private static final long ALONE = 4 * SECOND;
    /** By then a start has usually come so far that requests can be served. */
    private static final long STARTS = SECOND / 5;
    /** Of the time that it has left, what a request may wait for that, and the most. */
    private static final int PARKED_PART = 8;

    private static final long MOST_PARKED = SECOND / 4;
    private static final int MOST_PARKED_CLIENTS = 256;

    private final Boot boot;
    private final Reactor reactor;
    private final Codec codec = new Codec();
    private final Core core;
    private final Hello self;
    private final Poll poll = new Poll();
    private final Fleet fleet = new Fleet();
    private final Sessions sessions = new Sessions(LINGER);
    private final Roster roster;
    private final Quotas quotas;
    private final RetryBudget budget;
    private final Requests requests;
    private final List<Dialer> stores = new ArrayList<>();
    private final List<Dialer> registries = new ArrayList<>();
    private final Map<String, long[]> vector = new HashMap<>();
    private final Datagrams peers;
    private final Set<ClientWire> clients = new LinkedHashSet<>();
    private final CheckerPool pool;
    /** Clients whose requests wait for the end of our start. */
    private final Set<ClientWire> parked = new LinkedHashSet<>();

    private final int mostClients;
    private final long grace;
    private View view = View.of(List.of());
    /** What clients may send, and what they might before a change that they need not have heard of. */
    private Bounds bounds;

    private Bounds wide;
    private long narrowsAt;
    private long lookedAt;
    private boolean ready;
    /** Whether a store has told all that was in force when it was in touch with a quorum, after our start. */
    private boolean proved;

    private final long bornAt;
    private long leavingAt = -1;

    /** A request as it was read, or why it is refused at once. */
    record Reading(ClientRequest request, Answer refusal) {}

    public Proxy(Boot boot, Reactor reactor) throws BootException, IOException {
        this.boot = boot;
        this.reactor = reactor;
        // First of all, so that after a restart clients wait for us and are not turned away.
        new Listener(reactor, boot.socket("front"), this::client);
        new Listener(reactor, boot.socket("ready"), wire -> new Calls(reactor, wire, this::readiness));
        bornAt = reactor.now();
        lookedAt = bornAt;
        long life = reactor.draw() ^ (long) boot.node().hashCode() << 32;
        core = new Core(boot, false);
        self = new Hello(Messages.FORM, PROGRAM, boot.node(), boot.ip(), boot.zone(), life, core.machines());
        roster = new Roster(boot.node(), boot.zone(), life);
        quotas = new Quotas(boot.node(), life, !boot.coldStart(), reactor.now());
        budget = new RetryBudget(
                boot.figure("envelope.retryRatio", RATIO),
                boot.figure("envelope.retrySlack", SLACK),
                !boot.coldStart());
        requests = new Requests(this, roster, budget, life);
        pool = new CheckerPool(reactor, requests);
        mostClients = Math.max(64, (int) boot.figure("saturation.fdLimit", 1024) - DESCRIPTORS_KEPT);
        grace = (long) (boot.figure("envelope.graceS", 6) * SECOND);
        core.others(boot.storePort()).forEach(this::dial);
        peers = new Datagrams(reactor, Addresses.parse(boot.ip() + ':' + boot.peerPort()), this::peer);
        reactor.every(LOOK, this::look);
        tell();
    }

    /** Keeps up links with both programs of a core machine. */
    private void dial(InetSocketAddress store) {
        stores.add(new Dialer(reactor, codec, self, store, this));
        registries.add(
                new Dialer(reactor, codec, self, new InetSocketAddress(store.getAddress(), boot.registryPort()), this));
    }

    @Override
    public long now() {
        return reactor.now();
    }

    @Override
    public void soon(Runnable task) {
        reactor.execute(task);
    }

    @Override
    public Bounds bounds() {
        Bounds next = poll.table() == null ? Bounds.USUAL : poll.table().bounds();
        if (next != bounds) {
            Bounds before = now() < narrowsAt ? wide : bounds;
            wide = before == null ? next : before.loosest(next);
            narrowsAt = now() + NARROWS;
            bounds = next;
        }
        return now() < narrowsAt ? wide : next;
    }

    @Override
    public boolean leaving() {
        return leavingAt >= 0;
    }

    // ---- The core ----------------------------------------------------------------------------------
    @Override
    public void up(Link link) {
        core.learn(link.other().core(), boot.storePort()).forEach(this::dial);
        pull(link);
    }

    private void pull(Link link) {
        String source = link.other().node();
        boolean store = link.other().program().equals("store");
        long[] from = store ? poll.from(source) : vector.getOrDefault(source, new long[] {0, 0});
        if (from[0] == link.other().life() && link.other().program().equals("registry")) {
            sessions.found(source);
        }
        long arrived = store ? poll.snapshot().from(source, link.other().life()) : -1;
        link.say(
                arrived < 0
                        ? new Pull(from[0], from[1])
                        : new Resume(link.other().life(), arrived));
    }

    @Override
    public void told(Link link, Object message) {
        if (message instanceof Items items) {
            if (items.whole() || !poll.empty()) {
                if (poll.take(link.other().node(), items.life(), items.upTo(), items.items())) {
                    poll.table().plants().forEach(plant -> roster.ceiling(plant.name(), plant.ceiling()));
                }
            }
            pull(link);
            begun();
        } else if (message instanceof Piece piece) {
            poll.snapshot().piece(link.other().node(), piece.life(), piece.upTo(), piece.items());
            link.say(new Resume(piece.life(), piece.upTo()));
        } else if (message instanceof Current) {
            proved = true;
            begun();
        } else if (message instanceof News news) {
            vector.put(link.other().node(), new long[] {news.life(), news.upTo()});
            for (Incarnation life : news.lives()) {
                if (fleet.merge(life, now())) {
                    roster.told(fleet.get(life.id(), now()), now());
                }
            }
            sessions.told(link.other().node(), news.sessions(), now());
            members();
            requests.on(now(), new Event.Room());
            pull(link);
            begun();
        } else if (message instanceof CoreTold told) {
            core(told.core());
        } else if (message instanceof Pull) { // a registry that has started may have lost what we know
            link.say(new Tell(0, List.copyOf(fleet.all(now()))));
        } else if (message instanceof Contacts) { // of one that others may not be able to hear
            for (Dialer other : registries) {
                if (other.link() != null && other.link() != link) {
                    other.link().say(message);
                }
            }
        }
    }

    /** A store tells of the core as it is agreed on: who is new is dialled, who has left is let go. */
    private void core(Members told) {
        if (!core.take(told)) {
            return;
        }
        for (List<Dialer> all : List.of(stores, registries)) {
            for (Dialer gone : List.copyOf(all)) {
                if (core.gone(gone.to())) {
                    all.remove(gone);
                    gone.end();
                }
            }
        }
        for (InetSocketAddress other : core.others(boot.storePort())) {
            if (stores.stream().noneMatch(dialer -> dialer.to().equals(other))) {
                dial(other);
            }
        }
    }

    /**
     * Whether requests can be judged and sent on. Where no store has found a quorum, what any of them has is
     * served after a while, as it earns what it can; but nobody is refused by it.
     */
    private boolean serves() {
        return poll.table() != null && !roster.empty() && (known() || now() - bornAt > ALONE);
    }

    /** A start may have come to its end: then requests that wait for it go on. */
    private void begun() {
        if (!parked.isEmpty() && serves()) {
            List<ClientWire> all = List.copyOf(parked);
            parked.clear();
            all.forEach(ClientWire::resume);
        }
    }

    /**
     * Whether a request is to wait for the end of our start: where that is likely to come so soon that it is
     * still in time. It goes on by itself, at the latest when its part of the time is over.
     */
    @Override
    public boolean park(ClientWire client, Head head) {
        if (serves()) {
            return false;
        }
        long patience = Math.min(MOST_PARKED, wait(head.get("Reedmux-Time-Left-Ms")) * 1000 / PARKED_PART);
        if (now() + patience < bornAt + STARTS || now() > bornAt + 2 * SECOND || parked.size() >= MOST_PARKED_CLIENTS) {
            return false;
        }
        parked.add(client);
        reactor.after(patience, () -> {
            if (parked.remove(client)) {
                client.resume();
            }
        });
        return true;
    }

    /** Whether the configuration is as new as was acknowledged before our start. */
    private boolean known() {
        return poll.table() != null && !poll.empty() && proved;
    }

    @Override
    public void down(Link link) {
        if (link.other().program().equals("registry")) {
            sessions.lost(link.other().node(), now());
        }
    }

    private void members() {
        View next = sessions.view(now());
        quotas.alone(sessions.alone());
        if (next.tag() != view.tag()) {
            reactor.note(next.size() + " members, before " + view.size());
            view = next;
            quotas.view(view, now());
            roster.view(view);
            budget.members(view.size());
        }
    }

    // ---- Peers -------------------------------------------------------------------------------------
    private void tell() {
        for (Quotas.Letter letter : quotas.send(now())) {
            InetSocketAddress to = Addresses.parse(view.member(letter.place()).ip() + ':' + boot.peerPort());
            Quotas.Packet packet = letter.packet();
            List<Quotas.Entry> all = packet.entries();
            int from = 0;
            do {
                int end = Math.min(all.size(), from + MOST_ENTRIES);
                peers.send(
                        to,
                        codec.write(new Quotas.Packet(
                                self.node(),
                                self.life(),
                                packet.generation(),
                                packet.view(),
                                packet.reach(),
                                new ArrayList<>(all.subList(from, end)))));
                from = end;
            } while (from < all.size());
        }
        reactor.after(quotas.pace(), this::tell);
    }

    private void peer(InetSocketAddress from, byte[] bytes) {
        if (codec.read(bytes) instanceof Quotas.Packet packet && poll.table() != null) {
            quotas.take(packet, name -> poll.table().tenant(name), now());
        }
    }

    // ---- Clients -----------------------------------------------------------------------------------
    private void client(Wire wire) {
        if (clients.size() >= mostClients) {
            clients.stream()
                    .filter(ClientWire::idle)
                    .findFirst()
                    .ifPresent(oldest -> oldest.look(Long.MAX_VALUE / 2, true));
        }
        if (clients.size() >= mostClients) {
            wire.close();
        } else {
            clients.add(new ClientWire(this, wire));
        }
    }

    @Override
    public void gone(ClientWire client) {
        clients.remove(client);
        parked.remove(client);
    }

    private void readiness(Calls.Call call, Calls from) {
        boolean asked = call.head().path().equals("/v1/readiness");
        from.answer(!asked ? 404 : ready() ? 200 : 503, ready() ? "ready" : "not ready");
    }

    private boolean ready() {
        if (leaving()) {
            return false;
        }
        if (!ready) {
            long heard =
                    registries.stream().filter(other -> other.link() != null).count();
            ready = known() && heard > 0 && !roster.empty() && view.place(boot.node()) >= 0;
            if (ready) {
                reactor.log("ready after " + (now() - bornAt) / 1000 + " ms, with " + roster.size() + " checkers and "
                        + view.size() + " members");
            }
        }
        return ready;
    }

    /** Judges a request by its head. */
    @Override
    public Reading read(ClientWire client, Head head, Upload upload) {
        Table table = poll.table();
        if (!serves()) {
            // A request that waits here is late; one that comes back soon is new.
            return refused(503, "not ready yet", Math.max(BACK / 2, bornAt + STARTS - now()));
        }
        Route route = table.route(head.get("Host"), head.path());
        if (route == null) {
            return known() ? refused(404, "no route leads there", -1) : unsure();
        }
        Tenant tenant = null;
        if (table.keyed() && !route.unkeyed()) {
            String told = head.count("Authorization") == 1 ? head.get("Authorization") : null;
            tenant = told == null || !told.regionMatches(true, 0, "Bearer ", 0, 7)
                    ? null
                    : table.byKey(told.substring(7).trim());
            if (tenant == null) {
                return known() ? refused(401, "the key is not known", -1) : unsure();
            }
        }
        String attempt = head.get("Reedmux-Attempt-Id");
        long left = wait(head.get("Reedmux-Time-Left-Ms"));
        if (attempt == null || attempt.isEmpty() || head.count("Reedmux-Attempt-Id") > 1 || left < 0) {
            return refused(400, "Reedmux-Attempt-Id is missing, or Reedmux-Time-Left-Ms is no whole number", -1);
        }
        if (upload != null && upload.length() > bounds().bodyBytes()) {
            return refused(413, "the body is larger than " + bounds().bodyBytes() + " bytes", -1);
        }
        if (upload != null && clients.stream().mapToLong(ClientWire::held).sum() > MOST_HELD) {
            return refused(503, "too many bodies are coming in", BACK);
        }
        if (tenant != null && !quotas.admit(tenant, now())) {
            return refused(429, "the quota is used up", Math.max(BACK / 4, quotas.roomIn(tenant, now())));
        }
        ClientRequest request = new ClientRequest(client, head, attempt, tenant == null ? null : tenant.name(), upload);
        request.exchange(new Exchange(
                route, tenant, request, client.headAt(), client.headAt() + Math.min(left * 1000, route.cutoff())));
        return new Reading(request, null);
    }

    private static Reading refused(int status, String text, long retryAfter) {
        return new Reading(null, new Answer.Own(status, text, retryAfter));
    }

    private static Reading unsure() {
        return refused(503, "the configuration may be old", BACK);
    }

    private static long wait(String told) {
        if (told == null) {
            return 3_600_000;
        }
        return told.isEmpty() || told.length() > 9 || !told.chars().allMatch(c -> c >= '0' && c <= '9')
                ? -1
                : Long.parseLong(told);
    }

    @Override
    public void launch(ClientRequest request) {
        requests.on(now(), new Event.Taken(request.exchange()));
    }

    /** Nobody waits for a request any more; {@code launched}: it was sent on, perhaps. */
    @Override
    public void left(ClientRequest request, boolean launched) {
        if (!launched) {
            neverRan(request.exchange());
            return;
        }
        requests.on(now(), new Event.ClientLeft(request.exchange()));
    }

    // ---- What requests call for --------------------------------------------------------------------
    @Override
    public void send(Try what) {
        pool.send(what, (ClientRequest) what.exchange().source());
    }

    @Override
    public void giveUp(Try what) {
        pool.giveUp(what);
    }

    @Override
    public void answer(Exchange exchange, Answer answer) {
        ((ClientRequest) exchange.source()).client().answer((ClientRequest) exchange.source(), answer);
    }

    @Override
    public void neverRan(Exchange exchange) {
        if (exchange.tenant() != null) {
            quotas.giveBack(exchange.tenant(), now());
        }
    }

    @Override
    public void later(long at, Event event) {
        reactor.at(at, () -> requests.on(now(), event));
    }

    // ---- Now and then ------------------------------------------------------------------------------
    private void look() {
        members();
        roster.look();
        pool.look();
        boolean closesIdle = leaving() && now() - leavingAt > STAYS;
        boolean heldUp = now() - lookedAt > HELD_UP;
        lookedAt = now();
        for (ClientWire client : heldUp ? List.<ClientWire>of() : List.copyOf(clients)) {
            client.look(now(), closesIdle);
        }
        if (closesIdle && clients.isEmpty() || leaving() && now() - leavingAt > grace - SECOND / 3) {
            requests.on(now(), new Event.Ending());
            reactor.end();
        }
    }

    /** From now on no client is to come here; those that do are served, and the end follows. */
    @Override
    public void leave() {
        if (leavingAt < 0) {
            leavingAt = now();
        }
    }

    @Override
    public void reload(Boot next) throws BootException {
        core.learn(new Core(next, false).machines(), boot.storePort()).forEach(this::dial);
        budget.limits(next.figure("envelope.retryRatio", RATIO), next.figure("envelope.retrySlack", SLACK));
    }
}
