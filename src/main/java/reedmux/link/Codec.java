package reedmux.link;

import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import reedmux.config.Addresses;
import reedmux.fleet.Fleet;
import reedmux.fleet.Incarnation;
import reedmux.item.Agreement.Vote;
import reedmux.item.Ballot;
import reedmux.item.Item;
import reedmux.item.Mark;
import reedmux.item.Members;
import reedmux.item.Membership;
import reedmux.item.Proposal;
import reedmux.link.Messages.Adjust;
import reedmux.link.Messages.Ask;
import reedmux.link.Messages.Compare;
import reedmux.link.Messages.Confirm;
import reedmux.link.Messages.Confirmed;
import reedmux.link.Messages.Contacts;
import reedmux.link.Messages.CoreKept;
import reedmux.link.Messages.CoreTold;
import reedmux.link.Messages.Current;
import reedmux.link.Messages.Decided;
import reedmux.link.Messages.Differ;
import reedmux.link.Messages.Fetch;
import reedmux.link.Messages.Fetched;
import reedmux.link.Messages.Hello;
import reedmux.link.Messages.Items;
import reedmux.link.Messages.Known;
import reedmux.link.Messages.Leave;
import reedmux.link.Messages.Marks;
import reedmux.link.Messages.News;
import reedmux.link.Messages.Outcome;
import reedmux.link.Messages.Piece;
import reedmux.link.Messages.Ping;
import reedmux.link.Messages.Propose;
import reedmux.link.Messages.Pull;
import reedmux.link.Messages.Read;
import reedmux.link.Messages.Resume;
import reedmux.link.Messages.Tell;
import reedmux.link.Messages.Voted;
import reedmux.member.Differences;
import reedmux.member.Session;
import reedmux.quota.Quotas;

/**
 * Messages as bytes, in Kryo's encoding: a byte for the kind, and its parts by Kryo's output and input.
 * Each form is written out, and Kryo's table of classes is left alone: to make it, and to look up every
 * part of every message by reflection, took 0.1 s of CPU at each start; a lambda for each form took 0.01 s.
 * A change of a form changes {@link Messages#FORM}. For one thread.
 */
public final class Codec {
    private static final int FIRST = 1024;
    private static final byte HELLO = 0;
    private static final byte PING = 1;
    private static final byte PULL = 2;
    /** These three as they were written on disk before there were ballots. */
    private static final byte ITEMS_WITHOUT = 3;

    private static final byte ADJUST = 5;
    private static final byte READ = 6;
    private static final byte OUTCOME = 7;
    private static final byte PROPOSE_WITHOUT = 8;
    private static final byte VOTED = 9;
    private static final byte DECIDED_WITHOUT = 10;
    private static final byte TELL = 11;
    private static final byte KNOWN = 12;
    private static final byte CONTACTS = 19;
    private static final byte PACKET = 14;
    /** As it was written on disk when there was one phase. */
    private static final byte PROPOSE_ONE_PHASE = 15;

    private static final byte DECIDED = 16;
    private static final byte ITEMS = 17;
    private static final byte MARKS = 40;
    private static final byte CONFIRM = 41;
    private static final byte CONFIRMED = 42;
    private static final byte CURRENT = 43;
    private static final byte NEWS = 18;
    private static final byte ASK = 50;
    private static final byte CORE_TOLD = 51;
    private static final byte CORE_KEPT = 52;
    private static final byte CORE_STEP = 53;
    private static final byte FETCH = 54;
    private static final byte FETCHED = 55;
    private static final byte LEAVE = 56;
    private static final byte PROPOSE = 57;
    private static final byte PIECE = 60;
    private static final byte RESUME = 61;
    private static final byte COMPARE = 62;
    private static final byte DIFFER = 63;
    private static final byte SHOW = 70;
    private static final Ballot WITHOUT = new Ballot(1, "");
    private final Output out = new Output(FIRST, Link.MOST);

    public byte[] write(Object message) {
        out.reset();
        if (message instanceof Quotas.Packet packet) {
            out.writeByte(PACKET);
            packet(packet);
        } else if (message instanceof Ping) {
            out.writeByte(PING);
        } else if (message instanceof Pull pull) {
            out.writeByte(PULL);
            out.writeLong(pull.life());
            out.writeLong(pull.since());
        } else if (message instanceof Items told) {
            out.writeByte(ITEMS);
            told(told);
        } else if (message instanceof News news) {
            out.writeByte(NEWS);
            news(news);
        } else if (message instanceof Contacts contacts) {
            out.writeByte(CONTACTS);
            contacts(contacts);
        } else if (message instanceof Hello hello) {
            out.writeByte(HELLO);
            hello(hello);
        } else if (message instanceof Tell tell) {
            out.writeByte(TELL);
            out.writeLong(tell.id());
            lives(tell.lives());
        } else if (message instanceof Known known) {
            out.writeByte(KNOWN);
            out.writeLong(known.id());
        } else {
            ofCalls(message);
        }
        return out.toBytes();
    }

    private void told(Items told) {
        out.writeLong(told.life());
        out.writeLong(told.upTo());
        out.writeBoolean(told.whole());
        items(told.items());
        out.writeVarInt(told.held().size(), true);
        for (Proposal proposal : told.held()) {
            proposal(proposal);
        }
    }

    private static Items told(Input in) {
        return new Items(in.readLong(), in.readLong(), in.readBoolean(), items(in), proposals(in));
    }

    /** What changes of the core lead to. */
    private void ofCore(Object message) {
        if (message instanceof CoreTold told) {
            out.writeByte(CORE_TOLD);
            members(told.core());
            out.writeBoolean(told.ready());
            out.writeBoolean(told.fenced());
        } else if (message instanceof CoreKept kept) {
            out.writeByte(CORE_KEPT);
            members(kept.state().core());
            orNone(kept.state().promised());
            orNone(kept.state().accepted());
            members(kept.state().value());
            out.writeBoolean(kept.state().left());
        } else if (message instanceof Membership.Step step) {
            out.writeByte(CORE_STEP);
            out.writeByte(step.kind().ordinal());
            out.writeLong(step.epoch());
            ballot(step.ballot());
            orNone(step.under());
            members(step.value());
        } else if (message instanceof Fetch fetch) {
            out.writeByte(FETCH);
            out.writeLong(fetch.epoch());
            out.writeLong(fetch.life());
            out.writeLong(fetch.since());
        } else if (message instanceof Fetched fetched) {
            out.writeByte(FETCHED);
            out.writeLong(fetched.epoch());
            told(fetched.items());
            for (List<String> each : fetched.deciders()) {
                texts(each);
            }
        } else if (message instanceof Leave leave) {
            out.writeByte(LEAVE);
            out.writeLong(leave.id());
            out.writeString(leave.node());
        } else {
            ofCatchingUp(message);
        }
    }

    private static Fetched fetched(Input in) {
        long epoch = in.readLong();
        Items items = told(in);
        List<List<String>> deciders = new ArrayList<>();
        for (int i = 0; i < items.held().size(); i++) {
            deciders.add(texts(in));
        }
        return new Fetched(epoch, items, deciders);
    }

    private void orNone(Ballot ballot) {
        out.writeBoolean(ballot != null);
        if (ballot != null) {
            ballot(ballot);
        }
    }

    private static Ballot orNone(Input in) {
        return in.readBoolean() ? ballot(in) : null;
    }

    private void members(Members members) {
        out.writeVarInt(members == null ? 0 : members.nodes().size() + 1, true);
        if (members != null) {
            out.writeLong(members.epoch());
            for (Map.Entry<String, String> member : members.nodes().entrySet()) {
                out.writeString(member.getKey());
                out.writeString(member.getValue());
            }
        }
    }

    private static Members members(Input in) {
        int size = in.readVarInt(true);
        if (size == 0) {
            return null;
        }
        long epoch = in.readLong();
        Map<String, String> nodes = new TreeMap<>();
        for (int i = 1; i < size; i++) {
            String ip = in.readString();
            if (Addresses.parse(ip + ":1") == null) {
                throw new IllegalArgumentException("no ip of a member: " + ip);
            }
            nodes.put(ip, in.readString());
        }
        return new Members(epoch, nodes);
    }

    private static Membership.State state(Input in) {
        return new Membership.State(members(in), orNone(in), orNone(in), members(in), in.readBoolean());
    }

    private static Membership.Step step(Input in) {
        Membership.Step step = new Membership.Step(
                Membership.Kind.values()[in.readByte()], in.readLong(), ballot(in), orNone(in), members(in));
        if (step.value() == null && (step.kind() == Membership.Kind.ACCEPT || step.under() != null)) {
            throw new IllegalArgumentException("nothing to accept");
        }
        return step;
    }

    /** What the operator's calls lead to. */
    private void ofCalls(Object message) {
        if (message instanceof Propose propose) {
            out.writeByte(PROPOSE);
            proposal(propose.proposal());
        } else if (message instanceof Ask ask) {
            out.writeByte(ASK);
            out.writeLong(ask.epoch());
            proposal(ask.proposal());
        } else if (message instanceof Voted voted) {
            out.writeByte(VOTED);
            out.writeString(voted.call());
            ballot(voted.ballot());
            out.writeByte(voted.vote().ordinal());
        } else if (message instanceof Decided decided) {
            out.writeByte(DECIDED);
            out.writeString(decided.call());
            ballot(decided.ballot());
            out.writeBoolean(decided.inForce());
            items(decided.items());
        } else if (message instanceof Adjust adjust) {
            out.writeByte(ADJUST);
            out.writeLong(adjust.id());
            out.writeString(adjust.body());
        } else if (message instanceof Read read) {
            out.writeByte(READ);
            out.writeLong(read.id());
        } else if (message instanceof Outcome outcome) {
            out.writeByte(OUTCOME);
            out.writeLong(outcome.id());
            out.writeInt(outcome.status());
            out.writeString(outcome.body());
        } else if (message instanceof Marks told) {
            out.writeByte(MARKS);
            marks(told.marks());
        } else if (message instanceof Confirm confirm) {
            out.writeByte(CONFIRM);
            out.writeLong(confirm.epoch());
            out.writeLong(confirm.id());
            out.writeBoolean(confirm.settled());
        } else if (message instanceof Confirmed confirmed) {
            out.writeByte(CONFIRMED);
            out.writeLong(confirmed.id());
        } else if (message instanceof Current) {
            out.writeByte(CURRENT);
        } else if (message instanceof Messages.Show show) {
            out.writeByte(SHOW);
            out.writeLong(show.id());
            out.writeString(show.what());
            out.writeString(show.after());
            out.writeInt(show.limit());
        } else {
            ofCore(message);
        }
    }

    private void ofCatchingUp(Object message) {
        if (message instanceof Piece piece) {
            out.writeByte(PIECE);
            out.writeLong(piece.life());
            out.writeLong(piece.upTo());
            items(piece.items());
        } else if (message instanceof Resume resume) {
            out.writeByte(RESUME);
            out.writeLong(resume.life());
            out.writeLong(resume.since());
        } else if (message instanceof Compare compare) {
            out.writeByte(COMPARE);
            numbers(compare.ranges());
            out.writeVarInt(compare.digests().size(), true);
            for (long digest : compare.digests()) {
                out.writeLong(digest);
            }
        } else if (message instanceof Differ differ) {
            out.writeByte(DIFFER);
            numbers(differ.ranges());
        } else {
            throw new IllegalArgumentException("no message: " + message.getClass());
        }
    }

    /** Null where the bytes are no message. */
    public Object read(byte[] bytes) {
        try {
            Input in = new Frame(bytes);
            Object message = message(in);
            return in.position() == bytes.length ? message : null;
        } catch (RuntimeException e) { // Kryo's own, and whatever bytes of no sense lead to
            return null;
        }
    }

    private static Object message(Input in) {
        return switch (in.readByte()) {
            case PACKET -> packet(in);
            case PING -> new Ping();
            case PULL -> new Pull(in.readLong(), in.readLong());
            case ITEMS -> told(in);
            case NEWS -> new News(in.readLong(), in.readLong(), lives(in), owned(in), differences(in));
            case CONTACTS -> contacts(in);
            case HELLO ->
                new Hello(
                        in.readInt(),
                        in.readString(),
                        in.readString(),
                        in.readString(),
                        in.readString(),
                        in.readLong(),
                        texts(in));
            case TELL -> new Tell(in.readLong(), lives(in));
            case KNOWN -> new Known(in.readLong());
            case PROPOSE -> new Propose(proposal(in));
            case VOTED -> new Voted(in.readString(), ballot(in), Vote.values()[in.readByte()]);
            case DECIDED -> new Decided(in.readString(), ballot(in), in.readBoolean(), items(in));
            case ITEMS_WITHOUT -> new Items(in.readLong(), in.readLong(), in.readBoolean(), items(in), List.of());
            case PROPOSE_ONE_PHASE -> new Propose(new Proposal(in.readString(), ballot(in), items(in)));
            case PROPOSE_WITHOUT -> new Propose(new Proposal(in.readString(), WITHOUT, items(in)));
            case DECIDED_WITHOUT -> new Decided(in.readString(), WITHOUT, in.readBoolean(), items(in));
            case ADJUST -> new Adjust(in.readLong(), in.readString());
            case READ -> new Read(in.readLong());
            case OUTCOME -> new Outcome(in.readLong(), in.readInt(), in.readString());
            case MARKS -> new Marks(marks(in));
            case CONFIRM -> new Confirm(in.readLong(), in.readLong(), in.readBoolean());
            case CONFIRMED -> new Confirmed(in.readLong());
            case CURRENT -> new Current();
            case ASK -> new Ask(in.readLong(), proposal(in));
            case CORE_TOLD -> new CoreTold(members(in), in.readBoolean(), in.readBoolean());
            case CORE_KEPT -> new CoreKept(state(in));
            case CORE_STEP -> step(in);
            case FETCH -> new Fetch(in.readLong(), in.readLong(), in.readLong());
            case FETCHED -> fetched(in);
            case LEAVE -> new Leave(in.readLong(), in.readString());
            case PIECE -> new Piece(in.readLong(), in.readLong(), items(in));
            case RESUME -> new Resume(in.readLong(), in.readLong());
            case COMPARE -> new Compare(numbers(in), digests(in));
            case DIFFER -> new Differ(numbers(in));
            case SHOW -> new Messages.Show(in.readLong(), in.readString(), in.readString(), in.readInt());
            default -> null;
        };
    }

    private void numbers(List<Integer> numbers) {
        out.writeVarInt(numbers.size(), true);
        for (int number : numbers) {
            out.writeVarInt(number, true);
        }
    }

    private static List<Integer> numbers(Input in) {
        int size = in.readVarInt(true);
        List<Integer> all = list(size);
        for (int i = 0; i < size; i++) {
            all.add(in.readVarInt(true));
        }
        return all;
    }

    private static List<Long> digests(Input in) {
        int size = in.readVarInt(true);
        List<Long> all = list(size);
        for (int i = 0; i < size; i++) {
            all.add(in.readLong());
        }
        return all;
    }

    private void hello(Hello hello) {
        out.writeInt(hello.form());
        out.writeString(hello.program());
        out.writeString(hello.node());
        out.writeString(hello.ip());
        out.writeString(hello.zone());
        out.writeLong(hello.life());
        texts(hello.core());
    }

    private void texts(List<String> texts) {
        out.writeVarInt(texts.size(), true);
        for (String text : texts) {
            out.writeString(text);
        }
    }

    private static List<String> texts(Input in) {
        int size = in.readVarInt(true);
        List<String> all = list(size);
        for (int i = 0; i < size; i++) {
            all.add(in.readString());
        }
        return all;
    }

    /** Room for so many, and not for more than bytes of no sense may promise. */
    private static <T> ArrayList<T> list(int size) {
        return new ArrayList<>(Math.min(size, FIRST));
    }

    private void news(News news) {
        out.writeLong(news.life());
        out.writeLong(news.upTo());
        lives(news.lives());
        owned(news.owned());
        Differences sessions = news.sessions();
        out.writeBoolean(sessions.whole());
        out.writeVarInt(sessions.begun().size(), true);
        for (Session session : sessions.begun()) {
            session(out, session);
        }
        texts(sessions.ended());
    }

    private static Differences differences(Input in) {
        boolean whole = in.readBoolean();
        int size = in.readVarInt(true);
        List<Session> begun = list(size);
        for (int i = 0; i < size; i++) {
            begun.add(session(in));
        }
        return new Differences(whole, begun, texts(in));
    }

    private void items(List<Item> items) {
        out.writeVarInt(items.size(), true);
        for (Item item : items) {
            item(out, item);
        }
    }

    private static List<Item> items(Input in) {
        int size = in.readVarInt(true);
        List<Item> all = list(size);
        for (int i = 0; i < size; i++) {
            all.add(item(in));
        }
        return all;
    }

    private void marks(List<Mark> marks) {
        out.writeVarInt(marks.size(), true);
        for (Mark mark : marks) {
            out.writeString(mark.key());
            out.writeVarLong(mark.revision(), true);
            out.writeLong(mark.digest());
        }
    }

    private static List<Mark> marks(Input in) {
        int size = in.readVarInt(true);
        List<Mark> all = list(size);
        for (int i = 0; i < size; i++) {
            all.add(new Mark(in.readString(), in.readVarLong(true), in.readLong()));
        }
        return all;
    }

    private void proposal(Proposal proposal) {
        out.writeString(proposal.call());
        ballot(proposal.ballot());
        items(proposal.items());
        out.writeBoolean(proposal.precommitted());
    }

    private static Proposal proposal(Input in) {
        return new Proposal(in.readString(), ballot(in), items(in), in.readBoolean());
    }

    private static List<Proposal> proposals(Input in) {
        int size = in.readVarInt(true);
        List<Proposal> all = list(size);
        for (int i = 0; i < size; i++) {
            all.add(proposal(in));
        }
        return all;
    }

    private void ballot(Ballot ballot) {
        out.writeVarLong(ballot.number(), true);
        out.writeString(ballot.by());
    }

    private static Ballot ballot(Input in) {
        return new Ballot(in.readVarLong(true), in.readString());
    }

    private void lives(List<Incarnation> lives) {
        out.writeVarInt(lives.size(), true);
        for (Incarnation life : lives) {
            life(out, life);
        }
    }

    private static List<Incarnation> lives(Input in) {
        int size = in.readVarInt(true);
        List<Incarnation> all = list(size);
        for (int i = 0; i < size; i++) {
            all.add(life(in));
        }
        return all;
    }

    private void contacts(Contacts contacts) {
        out.writeVarInt(contacts.heard().size(), true);
        for (Fleet.Contact contact : contacts.heard()) {
            out.writeLong(contact.process());
            out.writeVarLong(contact.count(), true);
        }
    }

    private static Contacts contacts(Input in) {
        int size = in.readVarInt(true);
        List<Fleet.Contact> all = list(size);
        for (int i = 0; i < size; i++) {
            all.add(new Fleet.Contact(in.readLong(), in.readVarLong(true)));
        }
        return new Contacts(all);
    }

    private void owned(List<Fleet.Owned> owned) {
        out.writeVarInt(owned.size(), true);
        for (Fleet.Owned one : owned) {
            out.writeString(one.id());
            out.writeVarLong(one.seq(), true);
            out.writeLong(one.process());
        }
    }

    private static List<Fleet.Owned> owned(Input in) {
        int size = in.readVarInt(true);
        List<Fleet.Owned> all = list(size);
        for (int i = 0; i < size; i++) {
            all.add(new Fleet.Owned(in.readString(), in.readVarLong(true), in.readLong()));
        }
        return all;
    }

    private void packet(Quotas.Packet packet) {
        out.writeString(packet.from());
        out.writeLong(packet.life());
        out.writeVarLong(packet.generation(), true);
        out.writeLong(packet.view());
        out.writeVarInt(packet.reach(), true);
        out.writeVarInt(packet.entries().size(), true);
        for (Quotas.Entry entry : packet.entries()) {
            out.writeString(entry.tenant());
            out.writeDouble(entry.total());
            out.writeFloat((float) entry.count());
        }
    }

    private static Quotas.Packet packet(Input in) {
        String from = in.readString();
        long life = in.readLong();
        long generation = in.readVarLong(true);
        long view = in.readLong();
        int reach = (int) Frame.within(0, in.readVarInt(true), 1 << 20);
        int size = in.readVarInt(true);
        ArrayList<Quotas.Entry> all = list(size);
        for (int i = 0; i < size; i++) {
            all.add(new Quotas.Entry(in.readString(), Frame.finite(in.readDouble()), Frame.finite(in.readFloat())));
        }
        return new Quotas.Packet(from, life, generation, view, reach, all);
    }

    private static void item(Output out, Item item) {
        out.writeString(item.kind());
        out.writeString(item.name());
        out.writeVarLong(item.revision(), true);
        out.writeString(item.body());
    }

    private static Item item(Input in) {
        return new Item(in.readString(), in.readString(), in.readVarLong(true), in.readString());
    }

    private static void life(Output out, Incarnation life) {
        out.writeString(life.id());
        out.writeString(life.plant());
        out.writeString(life.address());
        out.writeString(life.zone());
        out.writeVarInt(life.capacity(), true);
        out.writeByte(life.phase());
        out.writeVarLong(life.seq(), true);
        out.writeVarLong(life.coldMs(), true);
        out.writeBoolean(life.silent());
    }

    private static Incarnation life(Input in) {
        return new Incarnation(
                in.readString(),
                in.readString(),
                in.readString(),
                in.readString(),
                (int) Frame.within(1, in.readVarInt(true), Integer.MAX_VALUE),
                (int) Frame.within(Incarnation.READY, in.readByte(), Incarnation.GONE),
                in.readVarLong(true),
                in.readVarLong(true),
                in.readBoolean());
    }

    private static void session(Output out, Session session) {
        out.writeString(session.node());
        out.writeString(session.ip());
        out.writeString(session.zone());
        out.writeLong(session.life());
    }

    private static Session session(Input in) {
        return new Session(in.readString(), in.readString(), in.readString(), in.readLong());
    }
}
