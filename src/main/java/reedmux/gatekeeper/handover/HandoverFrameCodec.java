package reedmux.gatekeeper.handover;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import reedmux.gatekeeper.policy.HandoverCounts.AccountSnapshot;
import reedmux.gatekeeper.policy.HandoverCounts.AccountUsage;

/**
 * The form of a {@link HandoverFrame}: the body's length in four bytes, a letter for its kind, its fields as {@link
 * DataOutputStream} writes them.
 */
public final class HandoverFrameCodec {
    /** Processes of different versions hand nothing over. */
    public static final int PROTOCOL_VERSION = 1;
    /** Bytes of a frame's body at most: some fifty thousand customers. */
    static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

    private static final int NEIGHBOUR_SLOTS = 3;

    private HandoverFrameCodec() {}

    /** A frame's bytes, with its length in front. */
    public static byte[] encode(HandoverFrame frame) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(all)) {
            out.writeInt(0);
            write(frame, out);
        } catch (IOException e) {
            throw new UncheckedIOException(e); // writing to memory does no I/O
        }
        byte[] bytes = all.toByteArray();
        int length = bytes.length - Integer.BYTES;
        for (int i = 0; i < Integer.BYTES; i++) {
            bytes[i] = (byte) (length >>> 8 * (Integer.BYTES - 1 - i));
        }
        return bytes;
    }

    private static void write(HandoverFrame frame, DataOutputStream out) throws IOException {
        if (frame instanceof HandoverFrame.HandoverHello hello) {
            out.writeByte('H');
            out.writeInt(hello.version());
            out.writeUTF(hello.rules());
        } else if (frame instanceof HandoverFrame.SnapshotRequest) {
            out.writeByte('T');
        } else if (frame instanceof HandoverFrame.ServiceSnapshot counted) {
            out.writeByte('C');
            out.writeUTF(counted.service());
            out.writeBoolean(counted.last());
            out.writeInt(counted.accounts().size());
            for (AccountSnapshot kept : counted.accounts()) {
                write(kept, out);
            }
        } else if (frame instanceof HandoverFrame.SuccessorServing) {
            out.writeByte('S');
        } else if (frame instanceof HandoverFrame.ServiceUsage since) {
            out.writeByte('D');
            out.writeUTF(since.service());
            out.writeInt(since.accounts().size());
            for (AccountUsage spent : since.accounts()) {
                writeCustomer(spent.customer(), spent.plan(), spent.firstMember(), spent.memberCount(), out);
                out.writeDouble(spent.units());
            }
        }
    }

    private static void writeCustomer(long customer, int plan, int first, int spread, DataOutputStream out)
            throws IOException {
        out.writeLong(customer);
        out.writeShort(plan);
        out.writeInt(first);
        out.writeInt(spread);
    }

    private static void write(AccountSnapshot kept, DataOutputStream out) throws IOException {
        writeCustomer(kept.customer(), kept.plan(), kept.firstMember(), kept.memberCount(), out);
        out.writeInt(kept.maxMemberCount());
        out.writeDouble(kept.count());
        out.writeDouble(kept.raceMargin());
        out.writeDouble(kept.unitsSinceFirstSeen());
        out.writeDouble(kept.rateLimitTokens());
        out.writeLong(kept.knownFor());
        for (int i = 0; i < NEIGHBOUR_SLOTS; i++) {
            out.writeInt(kept.neighbours()[i]);
            out.writeDouble(kept.unreportedUnits()[i]);
        }
    }

    /**
     * Reads a frame's body.
     *
     * @throws IOException where it is no frame, or bytes follow it
     */
    public static HandoverFrame decode(byte[] body) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(body));
        HandoverFrame frame;
        try {
            frame = decode(in);
        } catch (EOFException e) {
            throw new IOException("a frame is cut short", e);
        }
        if (in.available() > 0) {
            throw new IOException(in.available() + " bytes behind a frame");
        }
        return frame;
    }

    private static HandoverFrame decode(DataInputStream in) throws IOException {
        int kind = in.read();
        return switch (kind) {
            case 'H' -> new HandoverFrame.HandoverHello(in.readInt(), in.readUTF());
            case 'T' -> new HandoverFrame.SnapshotRequest();
            case 'C' -> readSnapshot(in);
            case 'S' -> new HandoverFrame.SuccessorServing();
            case 'D' -> readUsage(in);
            default -> throw new IOException("no frame begins with " + kind);
        };
    }

    private static HandoverFrame readSnapshot(DataInputStream in) throws IOException {
        String service = in.readUTF();
        boolean last = in.readBoolean();
        int size = in.readInt();
        List<AccountSnapshot> all = new ArrayList<>();
        for (int i = 0; i < size; i++) { // a size that is too large ends with the body
            long customer = in.readLong();
            int plan = in.readShort();
            int first = in.readInt();
            int spread = in.readInt();
            int sharers = in.readInt();
            double count = readFiniteDouble(in);
            double margin = readFiniteDouble(in);
            double sight = readFiniteDouble(in);
            double ceiling = readFiniteDouble(in);
            long seenFor = in.readLong();
            int[] near = new int[NEIGHBOUR_SLOTS];
            double[] owed = new double[NEIGHBOUR_SLOTS];
            for (int n = 0; n < NEIGHBOUR_SLOTS; n++) {
                near[n] = in.readInt();
                owed[n] = readFiniteDouble(in);
            }
            all.add(new AccountSnapshot(
                    customer, plan, first, spread, sharers, count, margin, sight, ceiling, seenFor, near, owed));
        }
        return new HandoverFrame.ServiceSnapshot(service, all, last);
    }

    private static HandoverFrame readUsage(DataInputStream in) throws IOException {
        String service = in.readUTF();
        int size = in.readInt();
        List<AccountUsage> all = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            all.add(new AccountUsage(in.readLong(), in.readShort(), in.readInt(), in.readInt(), readFiniteDouble(in)));
        }
        return new HandoverFrame.ServiceUsage(service, all);
    }

    private static double readFiniteDouble(DataInputStream in) throws IOException {
        double value = in.readDouble();
        if (!Double.isFinite(value)) {
            throw new IOException("a count is no number");
        }
        return value;
    }
}
