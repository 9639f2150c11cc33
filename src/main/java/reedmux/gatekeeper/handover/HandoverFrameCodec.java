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
 * Encodes and decodes {@link HandoverFrame}s. A frame consists of the length of its body in four bytes, one letter for
 * its type, and its fields as {@link DataOutputStream} writes them.
 */
public final class HandoverFrameCodec {
    /** Version of the frame protocol. Processes with different versions hand nothing over. */
    public static final int PROTOCOL_VERSION = 1;
    /** Maximum length of a frame body in bytes, which is enough for more than fifty thousand customers. */
    static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

    private static final int NEIGHBOUR_SLOTS = 3;

    private HandoverFrameCodec() {}

    /** Returns the bytes of a frame, including the length prefix. */
    public static byte[] encode(HandoverFrame frame) {
        ByteArrayOutputStream buffer = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(buffer)) {
            out.writeInt(0);
            write(frame, out);
        } catch (IOException e) {
            throw new UncheckedIOException(e); // not expected: writing to memory performs no I/O
        }
        byte[] bytes = buffer.toByteArray();
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
        } else if (frame instanceof HandoverFrame.ServiceSnapshot snapshot) {
            out.writeByte('C');
            out.writeUTF(snapshot.service());
            out.writeBoolean(snapshot.last());
            out.writeInt(snapshot.accounts().size());
            for (AccountSnapshot account : snapshot.accounts()) {
                write(account, out);
            }
        } else if (frame instanceof HandoverFrame.SuccessorServing) {
            out.writeByte('S');
        } else if (frame instanceof HandoverFrame.ServiceUsage usage) {
            out.writeByte('D');
            out.writeUTF(usage.service());
            out.writeInt(usage.accounts().size());
            for (AccountUsage accountUsage : usage.accounts()) {
                writeCustomer(
                        accountUsage.customer(),
                        accountUsage.plan(),
                        accountUsage.firstMember(),
                        accountUsage.memberCount(),
                        out);
                out.writeDouble(accountUsage.units());
            }
        }
    }

    private static void writeCustomer(long customer, int plan, int firstMember, int memberCount, DataOutputStream out)
            throws IOException {
        out.writeLong(customer);
        out.writeShort(plan);
        out.writeInt(firstMember);
        out.writeInt(memberCount);
    }

    private static void write(AccountSnapshot account, DataOutputStream out) throws IOException {
        writeCustomer(account.customer(), account.plan(), account.firstMember(), account.memberCount(), out);
        out.writeInt(account.maxMemberCount());
        out.writeDouble(account.count());
        out.writeDouble(account.raceMargin());
        out.writeDouble(account.unitsSinceFirstSeen());
        out.writeDouble(account.rateLimitTokens());
        out.writeLong(account.knownFor());
        for (int i = 0; i < NEIGHBOUR_SLOTS; i++) {
            out.writeInt(account.neighbours()[i]);
            out.writeDouble(account.unreportedUnits()[i]);
        }
    }

    /**
     * Decodes the body of a frame.
     *
     * @throws IOException if it is not a valid frame, or if more bytes follow the frame
     */
    public static HandoverFrame decode(byte[] body) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(body));
        HandoverFrame frame;
        try {
            frame = decode(in);
        } catch (EOFException e) {
            throw new IOException("truncated frame", e);
        }
        if (in.available() > 0) {
            throw new IOException(in.available() + " bytes after the end of the frame");
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
            default -> throw new IOException("unknown frame type: " + kind);
        };
    }

    private static HandoverFrame readSnapshot(DataInputStream in) throws IOException {
        String service = in.readUTF();
        boolean last = in.readBoolean();
        int size = in.readInt();
        List<AccountSnapshot> accounts = new ArrayList<>();
        for (int i = 0; i < size; i++) { // if size is too large, reading ends with an EOFException
            long customer = in.readLong();
            int plan = in.readShort();
            int firstMember = in.readInt();
            int memberCount = in.readInt();
            int maxMemberCount = in.readInt();
            double count = readFiniteDouble(in);
            double raceMargin = readFiniteDouble(in);
            double unitsSinceFirstSeen = readFiniteDouble(in);
            double rateLimitTokens = readFiniteDouble(in);
            long knownFor = in.readLong();
            int[] neighbours = new int[NEIGHBOUR_SLOTS];
            double[] unreportedUnits = new double[NEIGHBOUR_SLOTS];
            for (int slot = 0; slot < NEIGHBOUR_SLOTS; slot++) {
                neighbours[slot] = in.readInt();
                unreportedUnits[slot] = readFiniteDouble(in);
            }
            accounts.add(new AccountSnapshot(
                    customer,
                    plan,
                    firstMember,
                    memberCount,
                    maxMemberCount,
                    count,
                    raceMargin,
                    unitsSinceFirstSeen,
                    rateLimitTokens,
                    knownFor,
                    neighbours,
                    unreportedUnits));
        }
        return new HandoverFrame.ServiceSnapshot(service, accounts, last);
    }

    private static HandoverFrame readUsage(DataInputStream in) throws IOException {
        String service = in.readUTF();
        int size = in.readInt();
        List<AccountUsage> accounts = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            accounts.add(
                    new AccountUsage(in.readLong(), in.readShort(), in.readInt(), in.readInt(), readFiniteDouble(in)));
        }
        return new HandoverFrame.ServiceUsage(service, accounts);
    }

    private static double readFiniteDouble(DataInputStream in) throws IOException {
        double value = in.readDouble();
        if (!Double.isFinite(value)) {
            throw new IOException("count is not a finite number");
        }
        return value;
    }
}
