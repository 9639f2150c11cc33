package reedmux.link;

import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Function;
import reedmux.fleet.Fleet;
import reedmux.fleet.Life;
import reedmux.item.Council.Vote;
import reedmux.item.Item;
import reedmux.link.Messages.Adjust;
import reedmux.link.Messages.Beats;
import reedmux.link.Messages.Decided;
import reedmux.link.Messages.Hello;
import reedmux.link.Messages.Items;
import reedmux.link.Messages.Known;
import reedmux.link.Messages.News;
import reedmux.link.Messages.Outcome;
import reedmux.link.Messages.Ping;
import reedmux.link.Messages.Propose;
import reedmux.link.Messages.Pull;
import reedmux.link.Messages.Read;
import reedmux.link.Messages.Tell;
import reedmux.link.Messages.Voted;
import reedmux.member.Session;
import reedmux.quota.Quotas;

/**
 * Messages as bytes, in Kryo's encoding: a byte for the kind, and its parts by Kryo's output and input.
 * Each form is written out, and Kryo's table of classes is left alone: to make it, and to look up every
 * part of every message by reflection, took 0.1 s of CPU at each start. A change of a form changes {@link
 * Messages#FORM}. For one thread.
 */
public final class Codec {
    private static final int FIRST = 1024;
    private final Output out = new Output(FIRST, Link.MOST);
    private final Map<Class<?>, Integer> numbers = new HashMap<>();
    private final List<Form<?>> forms = new ArrayList<>();

    /** One message's form. */
    private record Form<T>(BiConsumer<Output, T> writer, Function<Input, T> reader) {

        @SuppressWarnings("unchecked")
        void write(Output out, Object message) {
            writer.accept(out, (T) message);
        }
    }

    public Codec() {
        form(Hello.class, (o, m) -> {
            o.writeInt(m.form());
            o.writeString(m.program());
            o.writeString(m.node());
            o.writeString(m.ip());
            o.writeString(m.zone());
            o.writeLong(m.life());
            list(o, m.core(), Output::writeString);
        }, i -> new Hello(i.readInt(), i.readString(), i.readString(), i.readString(), i.readString(),
                i.readLong(), list(i, Input::readString)));
        form(Ping.class, (o, m) -> { }, i -> new Ping());
        form(Pull.class, (o, m) -> {
            o.writeLong(m.life());
            o.writeLong(m.since());
        }, i -> new Pull(i.readLong(), i.readLong()));
        form(Items.class, (o, m) -> {
            o.writeLong(m.life());
            o.writeLong(m.upTo());
            o.writeBoolean(m.whole());
            list(o, m.items(), Codec::item);
        }, i -> new Items(i.readLong(), i.readLong(), i.readBoolean(), list(i, Codec::item)));
        form(News.class, (o, m) -> {
            o.writeLong(m.life());
            o.writeLong(m.upTo());
            list(o, m.lives(), Codec::life);
            o.writeBoolean(m.told());
            list(o, m.sessions(), Codec::session);
        }, i -> new News(i.readLong(), i.readLong(), list(i, Codec::life), i.readBoolean(),
                list(i, Codec::session)));
        form(Adjust.class, (o, m) -> {
            o.writeLong(m.id());
            o.writeString(m.body());
        }, i -> new Adjust(i.readLong(), i.readString()));
        form(Read.class, (o, m) -> o.writeLong(m.id()), i -> new Read(i.readLong()));
        form(Outcome.class, (o, m) -> {
            o.writeLong(m.id());
            o.writeInt(m.status());
            o.writeString(m.body());
        }, i -> new Outcome(i.readLong(), i.readInt(), i.readString()));
        form(Propose.class, (o, m) -> {
            o.writeString(m.call());
            list(o, m.items(), Codec::item);
        }, i -> new Propose(i.readString(), list(i, Codec::item)));
        form(Voted.class, (o, m) -> {
            o.writeString(m.call());
            o.writeByte(m.vote().ordinal());
        }, i -> new Voted(i.readString(), Vote.values()[i.readByte()]));
        form(Decided.class, (o, m) -> {
            o.writeString(m.call());
            o.writeBoolean(m.inForce());
            list(o, m.items(), Codec::item);
        }, i -> new Decided(i.readString(), i.readBoolean(), list(i, Codec::item)));
        form(Tell.class, (o, m) -> {
            o.writeLong(m.id());
            list(o, m.lives(), Codec::life);
        }, i -> new Tell(i.readLong(), list(i, Codec::life)));
        form(Known.class, (o, m) -> o.writeLong(m.id()), i -> new Known(i.readLong()));
        form(Beats.class, (o, m) -> list(o, m.heard(), (to, heard) -> {
            to.writeString(heard.id());
            to.writeVarLong(heard.seq(), true);
            to.writeVarLong(heard.agoMs(), true);
        }), i -> new Beats(list(i, from -> new Fleet.Heard(from.readString(), from.readVarLong(true),
                from.readVarLong(true)))));
        form(Quotas.Packet.class, (o, m) -> {
            o.writeString(m.from());
            o.writeLong(m.life());
            o.writeVarLong(m.generation(), true);
            o.writeLong(m.view());
            list(o, m.entries(), (to, entry) -> {
                to.writeString(entry.tenant());
                to.writeDouble(entry.total());
                to.writeFloat((float) entry.count());
            });
        }, i -> new Quotas.Packet(i.readString(), i.readLong(), i.readVarLong(true), i.readLong(), list(i,
                from -> new Quotas.Entry(from.readString(), from.readDouble(), from.readFloat()))));
    }

    private <T> void form(Class<T> type, BiConsumer<Output, T> writer, Function<Input, T> reader) {
        numbers.put(type, forms.size());
        forms.add(new Form<>(writer, reader));
    }

    private static <T> void list(Output out, List<T> all, BiConsumer<Output, T> writer) {
        out.writeVarInt(all.size(), true);
        for (T one : all) {
            writer.accept(out, one);
        }
    }

    private static <T> ArrayList<T> list(Input in, Function<Input, T> reader) {
        int size = in.readVarInt(true);
        ArrayList<T> all = new ArrayList<>(Math.min(size, FIRST));
        for (int i = 0; i < size; i++) {
            all.add(reader.apply(in));
        }
        return all;
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

    private static void life(Output out, Life life) {
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

    private static Life life(Input in) {
        return new Life(in.readString(), in.readString(), in.readString(), in.readString(),
                in.readVarInt(true), in.readByte(), in.readVarLong(true), in.readVarLong(true),
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

    public byte[] write(Object message) {
        out.reset();
        int number = numbers.get(message.getClass());
        out.writeByte(number);
        forms.get(number).write(out, message);
        return out.toBytes();
    }

    /** Null where the bytes are no message. */
    public Object read(byte[] bytes) {
        try {
            Input in = new Input(bytes);
            Object message = forms.get(in.readByte()).reader().apply(in);
            return in.position() == bytes.length ? message : null;
        } catch (RuntimeException e) { // Kryo's own, and whatever bytes of no sense lead to
            return null;
        }
    }
}
