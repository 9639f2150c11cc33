package reedmux.store;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import reedmux.boot.Boot;
import reedmux.boot.BootException;
import reedmux.boot.Program;
import reedmux.config.Addresses;
import reedmux.item.Agreement;
import reedmux.item.Ballot;
import reedmux.item.Digests;
import reedmux.item.Item;
import reedmux.item.Mark;
import reedmux.item.Membership;
import reedmux.item.Proposal;
import reedmux.item.Replica;
import reedmux.item.Snapshot;
import reedmux.link.Codec;
import reedmux.link.Dialer;
import reedmux.link.Link;
import reedmux.link.Messages;
import reedmux.link.Messages.Adjust;
import reedmux.link.Messages.Ask;
import reedmux.link.Messages.Compare;
import reedmux.link.Messages.Confirm;
import reedmux.link.Messages.Confirmed;
import reedmux.link.Messages.CoreTold;
import reedmux.link.Messages.Current;
import reedmux.link.Messages.Decided;
import reedmux.link.Messages.Differ;
import reedmux.link.Messages.Fetch;
import reedmux.link.Messages.Fetched;
import reedmux.link.Messages.Hello;
import reedmux.link.Messages.Items;
import reedmux.link.Messages.Leave;
import reedmux.link.Messages.Marks;
import reedmux.link.Messages.Outcome;
import reedmux.link.Messages.Piece;
import reedmux.link.Messages.Propose;
import reedmux.link.Messages.Pull;
import reedmux.link.Messages.Read;
import reedmux.link.Messages.Resume;
import reedmux.link.Messages.Voted;
import reedmux.net.Listener;
import reedmux.net.Reactor;

/**
 * Keeps the items of the configuration on this machine's disk and tells them to whoever pulls. What is
 * decided on the operator's calls is {@link Agreement}'s; here are its links and its disk.
 */
public final class Store implements Program, Link.Owner, Agreement.Effects, Membership.Effects {
    private static final String PROGRAM = "store";
    private static final long LOOK = 125_000;
    private static final long HANDED_ON = 2_000_000;
    /** About how many bytes a frame of items has, and how many items one of a repair. */
    private static final int PIECE = 64 * 1024;

    private static final int REPAIR = 256;
    /** Frames that are kept for all that ask. */
    private static final int FRAMES = 32;

    private static final long SHOW_PATIENCE = 500_000;
    private static final int GOOD = 200;

    private final Boot boot;
    private final Reactor reactor;
    private final Core core;
    private final int copies;
    private final Codec codec = new Codec();
    private final Hello self;
    private final Replica replica = new Replica();
    private final ReplicaStorage storage;
    private final Agreement agreement;
    private final Membership membership;
    /** Under which epoch the agreement counts. */
    private long epoch = -1;

    private final Set<Link> links = new LinkedHashSet<>();
    /** Orders that were handed on to the one on duty, by our ids. */
    private final Map<Long, BiConsumer<Integer, String>> handedOn = new HashMap<>();

    private long ids;
    private boolean ready;
    /** When links with a quorum stood last. */
    private long linkedAt = -1;

    private final Map<InetSocketAddress, Dialer> others = new HashMap<>();
    /** How far we have come with each of the others. */
    private final Map<String, long[]> vector = new HashMap<>();

    private final Set<Link> pulling = new LinkedHashSet<>();
    /** Over which link each of the others has asked last. */
    private final Map<String, Link> askedBy = new HashMap<>();
    /** Over which link each of the others has asked for contact last. */
    private final Map<String, Link> confirmBy = new HashMap<>();
    /** Proxies that are to hear of a contact which begins after their first pull. */
    private final Set<Link> unproven = new LinkedHashSet<>();

    private boolean proving;
    private final Snapshot snapshot = new Snapshot();
    /** What was told since some changes, as of which change, and whether we counted ourselves then. */
    private final Map<Long, Frame> written = new HashMap<>();

    private long writtenAt;
    private boolean writtenWhole;

    /** Who pulls: from where on, how far it was told, and what it is to hear behind that. */
    private static final class Puller {
        private boolean waits;
        private boolean begun;
        private long since = -1;
        private boolean merged;
        /** What is in the ranges of keys whose digests differ, and is not told yet. */
        private Replica.Piece repair;
        /** As of which change these ranges were read; below nought where none were. */
        private long repairedAt = -1;
        /** The last change that it has been told by us while we counted ourselves. */
        private long told = -1;
        /** Contacts that it asked for, and as of which change they are answered. */
        private final Deque<long[]> confirms = new ArrayDeque<>();
        /** For a proxy: as of which change a quorum was in touch; below nought before it was. */
        private long provenAt = -1;

        private boolean current;
    }

    public Store(Boot boot, Reactor reactor) throws BootException, IOException {
        this.reactor = reactor;
        if (boot.dataDir() == null) {
            throw new BootException(boot.file() + ": dataDir is missing: a store needs a disk");
        }
        this.boot = boot;
        core = new Core(boot, true);
        self = new Hello(
                Messages.FORM,
                PROGRAM,
                boot.node(),
                boot.ip(),
                boot.zone(),
                reactor.draw() ^ (long) boot.node().hashCode() << 32,
                core.machines());
        copies = (int) boot.figure("tolerance.machines", 0) + 1;
        storage = new ReplicaStorage(boot.dataDir(), reactor, codec, replica);
        boolean whole = storage.load(boot.coldStart(), core.first());
        if (!whole) {
            reactor.log("the disk is empty, and this is not the first start: asking the others");
        }
        agreement = new Agreement(boot.ip(), self.life(), replica, whole, this);
        membership = new Membership(boot.ip(), copies, storage.core(), whole, this);
        core.found(membership.core());
        core.others(boot.storePort()).forEach(this::dial);
        adopted();
        new Listener(
                reactor,
                Addresses.parse(boot.ip() + ':' + boot.storePort()),
                wire -> Link.of(reactor, codec, self, wire, this));
        reactor.every(LOOK, this::look);
    }

    @Override
    public void leave() {
        reactor.end();
    }

    @Override
    public void reload(Boot next) {
        core.learn(new Core(next, false).machines(), boot.storePort()).forEach(this::dial);
    }

    private void dial(InetSocketAddress other) {
        others.put(other, new Dialer(reactor, codec, self, other, this));
    }

    private void look() {
        agreement.look(reactor.now());
        if (agreement.current()) {
            linkedAt = reactor.now();
        }
        prove();
        membership.look(reactor.now());
        boolean now = membership.applies() && agreement.current();
        if (now != ready) {
            ready = now;
            links.forEach(this::tellCore);
        }
    }

    // ---- Links -------------------------------------------------------------------------------------
    @Override
    public void up(Link link) {
        core.learn(link.other().core(), boot.storePort()).forEach(this::dial);
        links.add(link);
        tellCore(link);
        if (dialled(link)) {
            membership.met(reactor.now(), link.other().ip(), link.other().node());
            pull(link);
        }
    }

    /** Asks for what we lack: from where we are, or after digests were compared where nobody knows that. */
    private void pull(Link link) {
        String ip = link.other().ip();
        long life = link.other().life();
        long[] from = vector.getOrDefault(ip, new long[] {0, 0});
        long arrived = snapshot.from(ip, life);
        if (arrived >= 0) {
            link.say(new Resume(life, arrived));
        } else if (from[0] == life || replica.changes() == 0) {
            link.say(new Pull(from[0], from[1]));
        } else {
            link.say(new Compare(List.of(), replica.digests().of(List.of())));
        }
    }

    private boolean dialled(Link link) {
        return others.values().stream().anyMatch(dialer -> dialer.link() == link);
    }

    @Override
    public void down(Link link) {
        pulling.remove(link);
        unproven.remove(link);
        links.remove(link);
        if (link.other() == null) {
            return; // it ended before it said who it is
        }
        askedBy.remove(link.other().ip(), link);
        confirmBy.remove(link.other().ip(), link);
        boolean another = others.values().stream()
                .anyMatch(dialer -> dialer.link() != null
                        && dialer.link().other().ip().equals(link.other().ip()));
        if (link.other().program().equals(PROGRAM) && !another) {
            agreement.lost(link.other().ip());
            membership.lost(reactor.now(), link.other().ip());
        }
    }

    @Override
    public void told(Link link, Object message) {
        long now = reactor.now();
        if (message instanceof Pull pull) {
            pulled(link, pull.life() == self.life() ? pull.since() : -1, true);
        } else if (message instanceof Resume resume) {
            pulled(link, resume.life() == self.life() ? resume.since() : -1, false);
        } else if (message instanceof Piece piece) {
            snapshot.piece(link.other().ip(), piece.life(), piece.upTo(), piece.items());
            link.say(new Resume(piece.life(), piece.upTo()));
        } else if (message instanceof Compare compare) {
            compare(link, compare);
        } else if (message instanceof Differ differ) {
            if (differ.ranges().stream().allMatch(range -> range >= 0 && range < Digests.RANGES)) {
                link.say(new Compare(differ.ranges(), replica.digests().of(differ.ranges())));
            } else {
                link.close();
            }
        } else if (message instanceof Items items) {
            take(link, items);
        } else if (message instanceof Ask ask) {
            askedBy.put(link.other().ip(), link);
            if (membership.admits(link.other().ip(), ask.epoch())) {
                agreement.asked(now, link.other().ip(), ask.proposal());
            }
        } else if (message instanceof Voted voted) {
            agreement.counted(now, link.other().ip(), voted.call(), voted.ballot(), voted.vote());
        } else if (message instanceof Decided decided) {
            agreement.decided(now, decided.call(), decided.ballot(), decided.inForce(), decided.items());
        } else if (message instanceof Adjust adjust) {
            agreement.adjust(now, adjust.body(), (status, line) -> link.say(new Outcome(adjust.id(), status, line)));
        } else if (message instanceof Read read) {
            agreement.read(now, (status, text) -> link.say(new Outcome(read.id(), status, text)));
        } else if (message instanceof Marks told) {
            List<Mark> news = replica.mark(told.marks());
            if (!news.isEmpty()) {
                storage.marked(news);
            }
        } else if (message instanceof Confirm confirm) {
            confirmBy.put(link.other().ip(), link);
            if (!membership.admits(link.other().ip(), confirm.epoch()) || membership.fenced()) {
                return; // a core after that one may be deciding already
            }
            agreement.confirm(now, link.other().ip(), confirm.id(), confirm.settled());
        } else if (message instanceof Confirmed confirmed) {
            agreement.confirmed(now, link.other().ip(), confirmed.id());
        } else {
            ofCore(link, message);
        }
    }

    private static Puller puller(Link link) {
        Puller puller = link.note();
        if (puller == null) {
            puller = new Puller();
            link.note(puller);
        }
        return puller;
    }

    private void compare(Link link, Compare told) {
        List<Integer> others = replica.digests().others(told.ranges(), told.digests());
        if (others == null) {
            reactor.wrong("digests of no sense from " + link.other().node());
            link.close();
            return;
        }
        Puller puller = puller(link);
        if (told.ranges().isEmpty()) {
            // What changes while ranges are compared is told behind them.
            puller.repairedAt = replica.changes();
        }
        if (told.ranges().isEmpty() && !others.isEmpty()) {
            link.say(new Differ(others));
        } else {
            puller.repair = others.isEmpty() ? null : replica.in(others);
            pulled(link, puller.repairedAt, false);
        }
    }

    /** {@code merged}: what was told up to then is in force there. */
    private void pulled(Link link, long since, boolean merged) {
        Puller puller = puller(link);
        puller.waits = true;
        puller.since = !merged && since < 0 ? puller.repairedAt : since;
        puller.merged = merged;
        puller.told = merged ? since : -1;
        pulling.add(link);
        answer(link);
        follow(link);
        if (!puller.current && puller.provenAt < 0 && !link.other().program().equals(PROGRAM) && unproven.add(link)) {
            prove();
        }
    }

    /** Says what waits behind the changes that were told over a link. */
    private void follow(Link link) {
        Puller puller = puller(link);
        while (!puller.confirms.isEmpty() && puller.confirms.peek()[1] <= puller.told) {
            link.say(new Confirmed(puller.confirms.poll()[0]));
        }
        if (!puller.current && puller.provenAt >= 0 && puller.provenAt <= puller.told) {
            puller.current = true;
            link.say(new Current());
        }
    }

    /** Seeks contact with a quorum for all proxies that have begun to pull since the last time. */
    private void prove() {
        if (proving || unproven.isEmpty() || !agreement.current()) {
            return;
        }
        proving = true;
        agreement.contact(reactor.now(), false, new Proof(List.copyOf(unproven)));
    }

    // A class, as a lambda is linked at run time, in the middle of a start.
    private final class Proof implements Consumer<Boolean> {
        private final List<Link> asked;

        private Proof(List<Link> asked) {
            this.asked = asked;
        }

        @Override
        public void accept(Boolean reached) {
            proving = false;
            if (reached) {
                for (Link link : asked) {
                    proven(link);
                }
            }
        }
    }

    private void proven(Link link) {
        if (unproven.remove(link)) {
            puller(link).provenAt = replica.changes();
            answer(link);
            follow(link);
        }
    }

    private void ofCore(Link link, Object message) {
        long now = reactor.now();
        String from = link.other().ip();
        if (message instanceof CoreTold told) {
            membership.told(now, from, told.core(), told.ready(), told.fenced());
        } else if (message instanceof Membership.Step step) {
            askedBy.put(from, link);
            membership.step(now, from, step);
        } else if (message instanceof Fetch fetch) {
            if (membership.handsOver(from, fetch.epoch())) {
                long since = fetch.life() == self.life() ? fetch.since() : 0;
                link.say(new Marks(replica.marksSince(since)));
                Items all = items(since);
                link.say(new Fetched(
                        fetch.epoch(),
                        all,
                        all.held().stream()
                                .map(proposal -> agreement.votedFor(proposal.call()))
                                .toList()));
            }
        } else if (message instanceof Fetched fetched) {
            Items told = fetched.items();
            List<Item> news = replica.lacking(told.items());
            agreement.handed(now, told.items(), told.held(), fetched.deciders());
            storage.merged(news);
            membership.handed(now, from, fetched.epoch());
        } else if (message instanceof Leave leave) {
            leave(leave.node(), (status, line) -> link.say(new Outcome(leave.id(), status, line)));
        } else if (message instanceof Messages.Show show) {
            show(link, show);
        } else if (message instanceof Outcome outcome) {
            BiConsumer<Integer, String> waits = handedOn.remove(outcome.id());
            if (waits != null) {
                waits.accept(outcome.status(), outcome.body());
            }
        }
    }

    /** Says what is known here, with whether a quorum is in touch now; for that it does not wait long. */
    private void show(Link link, Messages.Show show) {
        long begun = reactor.now();
        boolean[] said = new boolean[1];
        Consumer<Boolean> say = reached -> {
            if (!said[0]) {
                said[0] = true;
                Map<String, Long> heard = new TreeMap<>();
                others.values().stream()
                        .map(Dialer::link)
                        .filter(up -> up != null)
                        .forEach(up -> heard.put(up.other().ip(), up.heardAt()));
                link.say(new Outcome(
                        show.id(),
                        GOOD,
                        new StoreView(boot, self.life(), agreement, membership, replica, heard, linkedAt, reactor.now())
                                .text(show, reached, begun)));
            }
        };
        reactor.after(SHOW_PATIENCE, () -> say.accept(false));
        agreement.contact(begun, false, say);
    }

    /** An order to leave is the business of the one on duty. */
    private void leave(String node, BiConsumer<Integer, String> reply) {
        Link holder = membership.onDuty() ? null : linkTo(membership.duty().holder());
        if (holder == null) {
            membership.leave(reactor.now(), node, reply);
            return;
        }
        long id = ++ids;
        handedOn.put(id, reply);
        holder.say(new Leave(id, node));
        reactor.after(HANDED_ON, () -> handedOn.remove(id));
    }

    private Link linkTo(String ip) {
        for (Dialer other : others.values()) {
            if (other.link() != null && other.link().other().ip().equals(ip)) {
                return other.link();
            }
        }
        return null;
    }

    private Items items(long since) {
        return new Items(
                self.life(),
                replica.changes(),
                agreement.whole(),
                replica.since(since),
                List.copyOf(replica.held().values()));
    }

    /** One frame at a time, so that a snapshot keeps nothing else waiting. */
    private void answer(Link link) {
        Puller puller = puller(link);
        boolean store = link.other().program().equals(PROGRAM);
        // One that has come back is told even that there is nothing new: it counts nobody before it is told.
        boolean first = store && !puller.begun;
        if (!puller.waits
                || !first && puller.since >= 0 && puller.merged && replica.changes() <= puller.since
                || puller.since < 0 && !store && !agreement.whole()) {
            return;
        }
        puller.waits = false;
        puller.begun = true;
        pulling.remove(link);
        long since = Math.max(0, puller.since);
        if (!store) {
            Frame frame = news(since);
            puller.told = frame.last && agreement.whole() ? replica.changes() : -1;
            link.send(frame.bytes);
            return;
        }
        Replica.Piece piece = puller.repair != null ? puller.repair.first(REPAIR) : replica.piece(since, PIECE);
        if (!piece.marks().isEmpty()) {
            link.say(new Marks(piece.marks()));
        }
        if (puller.repair != null) {
            puller.repair = puller.repair.rest(REPAIR);
            link.say(new Piece(self.life(), -1, piece.items()));
        } else if (!piece.last()) {
            link.say(new Piece(self.life(), piece.upTo(), piece.items()));
        } else {
            puller.told = agreement.whole() ? replica.changes() : -1;
            link.say(new Items(
                    self.life(),
                    piece.upTo(),
                    agreement.whole(),
                    piece.items(),
                    List.copyOf(replica.held().values())));
        }
    }

    /** What is told to programs that hold nothing, as it is written; {@code last}: there is no more. */
    private record Frame(byte[] bytes, boolean last) {}

    /** What has come into force since a change; it is written once for all that ask from there. */
    private Frame news(long since) {
        if (writtenAt != replica.changes() || writtenWhole != agreement.whole() || written.size() > FRAMES) {
            written.clear();
            writtenAt = replica.changes();
            writtenWhole = agreement.whole();
        }
        Frame frame = written.get(since);
        if (frame == null) {
            Replica.Piece piece = replica.piece(since, PIECE);
            frame = new Frame(
                    codec.write(
                            piece.last()
                                    ? new Items(self.life(), piece.upTo(), writtenWhole, piece.items(), List.of())
                                    : new Piece(self.life(), piece.upTo(), piece.items())),
                    piece.last());
            written.put(since, frame);
        }
        return frame;
    }

    /** Another store tells what is in force there. */
    private void take(Link link, Items told) {
        vector.put(link.other().ip(), new long[] {told.life(), told.upTo()});
        List<Item> all = snapshot.end(link.other().ip(), told.life(), told.items());
        List<Item> news = replica.lacking(all);
        boolean before = agreement.whole();
        agreement.met(reactor.now(), link.other().ip(), told.whole(), all, told.held());
        if (!news.isEmpty()) {
            storage.merged(news);
        }
        if (!before && agreement.whole()) {
            membership.mended(reactor.now());
            storage.whole();
        }
        link.say(new Pull(told.life(), told.upTo()));
        prove();
    }

    // ---- What the membership calls for ---------------------------------------------------------------
    /** The core as it is known here, and who is on duty. */
    public Membership membership() {
        return membership;
    }

    @Override
    public void say(String to, Membership.Step step) {
        Link link = linkTo(to);
        if (link == null) {
            link = askedBy.get(to);
        }
        if (link != null) {
            link.say(step);
        }
    }

    @Override
    public void tellCore(String to) {
        Link link = linkTo(to);
        if (link == null) {
            link = askedBy.get(to);
        }
        if (link != null) {
            tellCore(link);
        }
    }

    private void tellCore(Link link) {
        link.say(new CoreTold(membership.core(), ready, membership.fenced()));
    }

    @Override
    public void fetch(String from, long of) {
        Link link = linkTo(from);
        if (link != null) {
            long[] at = vector.getOrDefault(from, new long[] {0, 0});
            link.say(new Fetch(of, at[0], at[1]));
        }
    }

    @Override
    public boolean settled(Set<String> handed) {
        return agreement.settled(handed);
    }

    @Override
    public void keepCore(Membership.State state, Consumer<Boolean> done) {
        storage.core(state, done);
    }

    @Override
    public void adopted() {
        agreement.fence(membership.fenced());
        if (membership.epoch() != epoch) {
            epoch = membership.epoch();
            if (core.take(membership.core())) {
                others.keySet().removeIf(this::dropped);
                for (InetSocketAddress other : core.others(boot.storePort())) {
                    if (!others.containsKey(other)) {
                        dial(other);
                    }
                }
            }
            agreement.quorum(membership.quorum());
        }
        List.copyOf(links).forEach(this::tellCore);
    }

    private boolean dropped(InetSocketAddress other) {
        if (core.gone(other)) {
            others.get(other).end();
            return true;
        }
        return false;
    }

    // ---- What the agreement calls for ----------------------------------------------------------------
    private void toAll(Object message) {
        others.values().stream()
                .filter(other -> other.link() != null)
                .forEach(other -> other.link().say(message));
    }

    @Override
    public void propose(Proposal proposal) {
        toAll(new Ask(epoch, proposal));
    }

    @Override
    public void vote(String to, String call, Ballot ballot, Agreement.Vote vote) {
        Link link = askedBy.get(to);
        if (link != null) {
            link.say(new Voted(call, ballot, vote));
        }
    }

    @Override
    public void confirm(long id, boolean settled) {
        toAll(new Confirm(epoch, id, settled));
    }

    @Override
    public void confirmed(String to, long id) {
        Link link = confirmBy.get(to);
        if (link != null) {
            puller(link).confirms.add(new long[] {id, replica.changes()});
            answer(link);
            follow(link);
        }
    }

    @Override
    public void tell(String call, Ballot ballot, boolean inForce, List<Item> items) {
        toAll(new Decided(call, ballot, inForce, items));
    }

    @Override
    public void keepHeld(Proposal proposal) {
        storage.held(
                new Propose(proposal), safe -> agreement.kept(reactor.now(), proposal.call(), proposal.ballot(), safe));
    }

    @Override
    public void keepDecided(String call, Ballot ballot, boolean inForce, List<Item> items) {
        storage.decided(new Decided(call, ballot, inForce, items));
    }

    @Override
    public void changed() {
        for (Link link : List.copyOf(pulling)) {
            answer(link);
            follow(link);
        }
    }

    @Override
    public void log(String line) {
        reactor.log(line);
    }
}
