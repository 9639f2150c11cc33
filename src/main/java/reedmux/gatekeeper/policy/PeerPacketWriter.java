package reedmux.gatekeeper.policy;

import java.nio.ByteBuffer;
import java.util.List;
import reedmux.gatekeeper.policy.PeerPacket.AccountEntry;
import reedmux.gatekeeper.policy.PeerPacket.MemberVersion;

/** Encodes one {@link PeerPacket}. */
final class PeerPacketWriter {
    /** Maximum size of all members, which leaves half of the packet for entries, and of one member. */
    private static final int MEMBERS_BUDGET_BYTES = 128;

    private static final int MAX_MEMBER_BYTES = 6;
    /** Maximum size of one entry. */
    private static final int MAX_ENTRY_BYTES = 30;
    /** Amounts are clamped to this many units in either direction. */
    private static final double MAX_UNITS = 1e6;

    private final ByteBuffer out;
    private final CustomerAliases aliases;
    private final long number;

    /** Starts a packet of at most {@code maxBytes}; the other parameters are fields of the packet. */
    PeerPacketWriter(
            CustomerAliases aliases,
            int incarnation,
            int receiverIncarnation,
            int acceptedBits,
            long number,
            long acknowledgedNumber,
            boolean replyRequested,
            int syncIntervalMillis,
            List<MemberVersion> members,
            int maxBytes) {
        out = ByteBuffer.allocate(maxBytes);
        this.aliases = aliases;
        this.number = number;
        out.position(PeerPacket.CHECKSUM_BYTES)
                .putShort((short) incarnation)
                .putShort((short) receiverIncarnation)
                .putShort((short) acceptedBits);
        writeVarint(number);
        writeVarint(acknowledgedNumber);
        writeVarint((long) syncIntervalMillis << 1 | (replyRequested ? 1 : 0));
        writeVarint(members.size());
        for (MemberVersion member : members) {
            writeVarint(member.member());
            writeVarint(member.version());
        }
    }

    /** Returns the maximum number of members that leaves half of the packet for entries. */
    static int maxMembers() {
        return MEMBERS_BUDGET_BYTES / MAX_MEMBER_BYTES;
    }

    /** Whether another entry is guaranteed to fit. */
    boolean hasRoom() {
        return out.remaining() >= MAX_ENTRY_BYTES;
    }

    void add(AccountEntry entry) {
        int alias = aliases.aliasOf(entry, number);
        boolean hasCustomer = aliases.isUnacknowledged(alias);
        boolean wholeDelta = entry.delta() == Math.rint(entry.delta());
        writeVarint((long) alias << PeerPacket.FLAG_BITS
                | (entry.count() != null ? PeerPacket.HAS_COUNT : 0)
                | (entry.inFlight() != null ? PeerPacket.HAS_IN_FLIGHT : 0)
                | (entry.grant() > 0 ? PeerPacket.HAS_GRANT : 0)
                | (hasCustomer ? PeerPacket.HAS_CUSTOMER : 0)
                | (wholeDelta ? PeerPacket.IS_WHOLE_DELTA : 0));
        if (hasCustomer) {
            writeVarint(entry.customer());
            writeVarint(entry.plan());
            writeVarint(entry.firstMember());
            writeVarint(entry.memberCount());
        }
        writeUnits(entry.delta() / (wholeDelta ? PeerPacket.UNIT_RESOLUTION : 1));
        if (entry.count() != null) {
            writeUnits(entry.count());
        }
        if (entry.inFlight() != null) {
            writeVarint(entry.inFlight());
        }
        if (entry.grant() > 0) {
            writeUnits(entry.grant());
        }
    }

    /** Returns the encoded packet; nothing may be added afterwards. */
    byte[] finish() {
        out.flip();
        byte[] datagram = new byte[out.remaining()];
        out.get(datagram);
        return ByteBuffer.wrap(datagram).putShort(PeerPacket.checksum(datagram)).array();
    }

    /** Writes units in zigzag encoding: the sign is the lowest bit, so that small amounts of either sign are short. */
    private void writeUnits(double units) {
        long value = Math.round(Math.max(-MAX_UNITS, Math.min(MAX_UNITS, units)) * PeerPacket.UNIT_RESOLUTION);
        writeVarint(value << 1 ^ value >> 63);
    }

    private void writeVarint(long value) {
        long remaining = value;
        for (; remaining > 0x7F || remaining < 0; remaining >>>= 7) {
            out.put((byte) (remaining | 0x80));
        }
        out.put((byte) remaining);
    }
}
