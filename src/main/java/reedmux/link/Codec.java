package reedmux.link;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;

/** Messages as bytes, by Kryo. For one thread. */
public final class Codec {
    private static final int FIRST = 1024;
    private final Kryo kryo = new Kryo();
    private final Output out = new Output(FIRST, Link.MOST);

    public Codec() {
        kryo.setRegistrationRequired(true);
        kryo.setReferences(false);
        Messages.KINDS.forEach(kryo::register);
    }

    public byte[] write(Object message) {
        out.reset();
        kryo.writeClassAndObject(out, message);
        return out.toBytes();
    }

    /** Null where the bytes are no message. */
    public Object read(byte[] bytes) {
        try {
            return kryo.readClassAndObject(new Input(bytes));
        } catch (KryoException | IllegalArgumentException | IndexOutOfBoundsException e) {
            return null;
        }
    }
}
