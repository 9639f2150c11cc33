package reedmux.handover;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import reedmux.policy.Twin.Kept;
import reedmux.policy.Twin.Spent;

/** The bytes of a {@link Frame}: its length, a letter for its kind, its fields. */
public final class Frames {
    /** Of these frames; one that speaks another cannot be understood. */
    public static final int VERSION = 1;
    /** Bytes of a frame's body: some fifty thousand customers. */
    static final int LONGEST = 8 * 1024 * 1024;

    private static final int NEIGHBOURS = 3;

    private Frames() {}

    /** A frame's bytes, its length in front. */
    public static byte[] bytes(Frame frame) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(all)) {
            out.writeInt(0);
            write(frame, out);
        } catch (IOException e) {
            throw new UncheckedIOException(e); // there is no I/O in it
        }
        byte[] bytes = all.toByteArray();
        int length = bytes.length - Integer.BYTES;
        for (int i = 0; i < Integer.BYTES; i++) {
            bytes[i] = (byte) (length >>> 8 * (Integer.BYTES - 1 - i));
        }
        return bytes;
    }

    private static void write(Frame frame, DataOutputStream out) throws IOException {
        if (frame instanceof Frame.Hello hello) {
            out.writeByte('H');
            out.writeInt(hello.version());
            out.writeUTF(hello.rules());
        } else if (frame instanceof Frame.Take) {
            out.writeByte('T');
        } else if (frame instanceof Frame.Counted counted) {
            out.writeByte('C');
            out.writeUTF(counted.service());
            out.writeBoolean(counted.last());
            out.writeInt(counted.kept().size());
            for (Kept kept : counted.kept()) {
                write(kept, out);
            }
        } else if (frame instanceof Frame.Serving) {
            out.writeByte('S');
        } else if (frame instanceof Frame.SpentSince since) {
            out.writeByte('D');
            out.writeUTF(since.service());
            out.writeInt(since.spent().size());
            for (Spent spent : since.spent()) {
                whose(spent.customer(), spent.plan(), spent.first(), spent.spread(), out);
                out.writeDouble(spent.units());
            }
        }
    }

    private static void whose(long customer, int plan, int first, int spread, DataOutputStream out) throws IOException {
        out.writeLong(customer);
        out.writeShort(plan);
        out.writeInt(first);
        out.writeInt(spread);
    }

    private static void write(Kept kept, DataOutputStream out) throws IOException {
        whose(kept.customer(), kept.plan(), kept.first(), kept.spread(), out);
        out.writeInt(kept.sharers());
        out.writeDouble(kept.count());
        out.writeDouble(kept.margin());
        out.writeDouble(kept.sight());
        out.writeDouble(kept.ceiling());
        out.writeLong(kept.seenFor());
        for (int i = 0; i < NEIGHBOURS; i++) {
            out.writeInt(kept.near()[i]);
            out.writeDouble(kept.owed()[i]);
        }
    }

    /** Reads a frame's body. Whatever it holds that no frame does is an error, and so are bytes behind it. */
    public static Frame read(byte[] body) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(body));
        Frame frame;
        try {
            frame = read(in);
        } catch (EOFException e) {
            throw new IOException("a frame is cut short", e);
        }
        if (in.available() > 0) {
            throw new IOException(in.available() + " bytes behind a frame");
        }
        return frame;
    }

    private static Frame read(DataInputStream in) throws IOException {
        int kind = in.read();
        return switch (kind) {
            case 'H' -> new Frame.Hello(in.readInt(), in.readUTF());
            case 'T' -> new Frame.Take();
            case 'C' -> counted(in);
            case 'S' -> new Frame.Serving();
            case 'D' -> spent(in);
            default -> throw new IOException("no frame begins with " + kind);
        };
    }

    private static Frame counted(DataInputStream in) throws IOException {
        String service = in.readUTF();
        boolean last = in.readBoolean();
        int size = in.readInt();
        List<Kept> all = new ArrayList<>();
        for (int i = 0; i < size; i++) { // what is said to be there and is not ends the reading
            long customer = in.readLong();
            int plan = in.readShort();
            int first = in.readInt();
            int spread = in.readInt();
            int sharers = in.readInt();
            double count = number(in);
            double margin = number(in);
            double sight = number(in);
            double ceiling = number(in);
            long seenFor = in.readLong();
            int[] near = new int[NEIGHBOURS];
            double[] owed = new double[NEIGHBOURS];
            for (int n = 0; n < NEIGHBOURS; n++) {
                near[n] = in.readInt();
                owed[n] = number(in);
            }
            all.add(new Kept(
                    customer, plan, first, spread, sharers, count, margin, sight, ceiling, seenFor, near, owed));
        }
        return new Frame.Counted(service, all, last);
    }

    private static Frame spent(DataInputStream in) throws IOException {
        String service = in.readUTF();
        int size = in.readInt();
        List<Spent> all = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            all.add(new Spent(in.readLong(), in.readShort(), in.readInt(), in.readInt(), number(in)));
        }
        return new Frame.SpentSince(service, all);
    }

    private static double number(DataInputStream in) throws IOException {
        double value = in.readDouble();
        if (!Double.isFinite(value)) {
            throw new IOException("a count is no number");
        }
        return value;
    }
}
