package reedmux.gatekeeper.policy;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;

/**
 * One datagram between gateways: a two-byte checksum, three two-byte numbers, then varints. Encoded by {@link
 * PeerPacketWriter}.
 *
 * @param incarnation         incarnation of the sender
 * @param receiverIncarnation incarnation that the packet is addressed to; 0 if the sender does not know it
 * @param acceptedBits        bit i is set if packet {@code acknowledgedNumber - i} was accepted
 * @param number              sequence number of the sender's packets to this receiver
 * @param acknowledgedNumber  the highest number that the sender has received from the receiver
 * @param replyRequested      whether the sender requests a reply
 * @param syncIntervalMillis  interval at which the sender wants to receive packets from the receiver
 * @param members             member versions that the receiver may not have
 * @param entries             reports on customers
 */
record PeerPacket(
        int incarnation,
        int receiverIncarnation,
        int acceptedBits,
        long number,
        long acknowledgedNumber,
        boolean replyRequested,
        int syncIntervalMillis,
        List<MemberVersion> members,
        List<AccountEntry> entries) {
    /** Number of packets that one acknowledgement covers. */
    static final int ACK_WINDOW_PACKETS = 16;
    /** Exclusive upper bound of incarnations. */
    static final int INCARNATION_BOUND = 1 << 16;
    /** Maximum number of bits of a customer number; a longer one would not fit into an entry. */
    static final int CUSTOMER_BITS = 33;
    /** Units are encoded as whole multiples of 1 / {@code UNIT_RESOLUTION}. */
    static final double UNIT_RESOLUTION = 100;

    static final int CHECKSUM_BYTES = Short.BYTES;
    /** Number of flag bits of an entry: the low bits of its first varint, below the alias. */
    static final int FLAG_BITS = 5;

    static final int HAS_COUNT = 1;
    static final int HAS_IN_FLIGHT = 2;
    static final int HAS_GRANT = 4;
    static final int HAS_CUSTOMER = 8;
    static final int IS_WHOLE_DELTA = 16;
    private static final int HEADER_BYTES = CHECKSUM_BYTES + 3 * Short.BYTES;
    private static final int UNSIGNED_SHORT_MASK = 0xFFFF;

    /** The number of changes of a member between reachable and unreachable; odd means unreachable. */
    record MemberVersion(int member, int version) {}

    /**
     * The report on one customer.
     *
     * @param alias short number for the customer, plan and gateways once the receiver knows them
     * @param plan  the plan's number; -1 if only the alias was sent
     * @param delta units counted since the last report
     * @param count all units counted, without the delta; null if it was not requested
     * @param inFlight attempts in flight behind the sender; null if they are not reported
     * @param grant rate-limit tokens that are transferred to the receiver
     */
    record AccountEntry(
            int alias,
            long customer,
            int plan,
            int firstMember,
            int memberCount,
            double delta,
            Double count,
            Integer inFlight,
            double grant) {
        AccountEntry(
                long customer,
                int plan,
                int firstMember,
                int memberCount,
                double delta,
                Double count,
                Integer inFlight,
                double grant) {
            this(0, customer, plan, firstMember, memberCount, delta, count, inFlight, grant);
        }
    }

    /** Rounds units to the resolution in which they are transmitted. */
    static double roundToWire(double units) {
        return Math.round(units * UNIT_RESOLUTION) / UNIT_RESOLUTION;
    }

    /** Decodes a datagram. Returns null unless it holds exactly one valid packet. */
    static PeerPacket read(byte[] datagram) {
        if (datagram.length < HEADER_BYTES || ByteBuffer.wrap(datagram).getShort() != checksum(datagram)) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(datagram).position(CHECKSUM_BYTES);
        try {
            int incarnation = in.getShort() & UNSIGNED_SHORT_MASK;
            int receiverIncarnation = in.getShort() & UNSIGNED_SHORT_MASK;
            int acceptedBits = in.getShort() & UNSIGNED_SHORT_MASK;
            long number = readVarint(in);
            long acknowledgedNumber = readVarint(in);
            long interval = readVarint(in);
            List<MemberVersion> members = new ArrayList<>();
            for (long left = readVarint(in); left > 0; left--) {
                members.add(new MemberVersion((int) readVarint(in), (int) readVarint(in)));
            }
            List<AccountEntry> entries = new ArrayList<>();
            while (in.hasRemaining()) {
                entries.add(readEntry(in));
            }
            boolean replyRequested = (interval & 1) != 0;
            return new PeerPacket(
                    incarnation,
                    receiverIncarnation,
                    acceptedBits,
                    number,
                    acknowledgedNumber,
                    replyRequested,
                    (int) (interval >> 1),
                    members,
                    entries);
        } catch (BufferUnderflowException e) {
            return null;
        }
    }

    private static AccountEntry readEntry(ByteBuffer in) {
        int first = (int) readVarint(in);
        boolean hasCustomer = (first & HAS_CUSTOMER) != 0;
        long customer = hasCustomer ? readVarint(in) : 0;
        int plan = hasCustomer ? (int) readVarint(in) : -1;
        int firstMember = hasCustomer ? (int) readVarint(in) : 0;
        int memberCount = hasCustomer ? (int) readVarint(in) : 0;
        double delta = readUnits(in) * ((first & IS_WHOLE_DELTA) != 0 ? UNIT_RESOLUTION : 1);
        Double count = (first & HAS_COUNT) != 0 ? Double.valueOf(readUnits(in)) : null;
        Integer inFlight = (first & HAS_IN_FLIGHT) != 0 ? Integer.valueOf((int) readVarint(in)) : null;
        double grant = (first & HAS_GRANT) != 0 ? readUnits(in) : 0;
        return new AccountEntry(
                first >> FLAG_BITS, customer, plan, firstMember, memberCount, delta, count, inFlight, grant);
    }

    private static long readVarint(ByteBuffer in) {
        long value = 0;
        for (int shift = 0; ; shift += 7) {
            byte next = in.get();
            value |= (long) (next & 0x7F) << shift;
            if (next >= 0) {
                return value;
            }
        }
    }

    private static double readUnits(ByteBuffer in) {
        long value = readVarint(in);
        return (value >>> 1 ^ -(value & 1)) / UNIT_RESOLUTION;
    }

    /** Returns the low 16 bits of the CRC-32 of everything after the checksum. */
    static short checksum(byte[] datagram) {
        CRC32 sum = new CRC32();
        sum.update(datagram, CHECKSUM_BYTES, datagram.length - CHECKSUM_BYTES);
        return (short) sum.getValue();
    }
}
