package reedmux.gatekeeper.policy;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.zip.CRC32;

/**
 * The bytes of one message between gateways. {@code number} counts the sender's packets on this edge;
 * {@code acknowledgedNumber} and {@code acceptedBits} acknowledge the other direction: bit i tells whether highest -
 * i was
 * taken in. {@code syncIntervalMillis} is the time in milliseconds that the sender wants between packets to it, and
 * {@code members} is what it learnt of members.
 */
public record PeerPacket(
        int incarnation,
        int receiverIncarnation,
        int acceptedBits,
        long number,
        long acknowledgedNumber,
        boolean replyRequested,
        int syncIntervalMillis,
        List<MemberVersion> members,
        List<AccountEntry> entries) {
    /** Packets that one acknowledgement can speak of, and the bound of an incarnation. */
    static final int ACK_WINDOW_PACKETS = 16, INCARNATION_BOUND = 1 << 16;
    /** Most bytes of a message's news, and the most that one entry and one piece of news can take. */
    private static final int MEMBERS_BUDGET_BYTES = 128;

    private static final int MAX_ENTRY_BYTES = 30, MAX_MEMBER_BYTES = 6;
    private static final int CHECKSUM_BYTES = 2;
    private static final int HEADER_BYTES = CHECKSUM_BYTES + 3 * Short.BYTES;
    private static final int UNSIGNED_SHORT_MASK = 0xFFFF;
    private static final int FLAG_BITS = 5;
    /** Customers of one edge with a short name at a time. */
    static final int MAX_ALIASES = 1024;
    /** Units travel as whole hundredths, up to this amount. */
    private static final double UNIT_RESOLUTION = 100, MAX_UNITS = 1e6;

    /** How often a member has changed between heard and silent; odd means silent. */
    public record MemberVersion(int member, int version) {}

    /**
     * One customer's part: its gateways, the delta, where given its count and its open attempts, and the
     * units of the ceiling that pass to the receiver. {@code alias} stands for the first four once the other
     * side has them; {@code plan} is -1 where only the alias was sent.
     */
    public record AccountEntry(
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
                int first,
                int spread,
                double delta,
                Double count,
                Integer open,
                double grant) {
            this(0, customer, plan, first, spread, delta, count, open, grant);
        }
    }

    /**
     * The short names of customers on one edge, ours and the other side's; both begin anew with a life. Only
     * the latest {@link #MAX_ALIASES} hold, on both sides by the same rule: many customers come once and never
     * again, and names without end would fill the memory.
     */
    static final class CustomerAliases {
        private final Map<Long, Integer> ownAliases = new LinkedHashMap<>();
        private final Map<Integer, Long> announcedInPacket = new HashMap<>();
        private final NavigableMap<Integer, AccountEntry> peerAliases = new TreeMap<>();
        private int nextAlias;

        void clear() {
            nextAlias = 0;
            ownAliases.clear();
            announcedInPacket.clear();
            peerAliases.clear();
        }

        /** Names held, of both sides. */
        int size() {
            return ownAliases.size() + announcedInPacket.size() + peerAliases.size();
        }

        /** The packet was taken in: names that it told may stand alone. */
        void onAcknowledged(long number) {
            announcedInPacket.values().removeIf(first -> first == number);
        }

        /** The entry with its customer; null where its alias says nothing here. */
        AccountEntry resolve(AccountEntry entry) {
            if (entry.plan >= 0) {
                peerAliases.put(entry.alias, entry);
                peerAliases.headMap(peerAliases.lastKey() - MAX_ALIASES, true).clear();
                return entry;
            }
            AccountEntry known = peerAliases.get(entry.alias);
            return known == null
                    ? null
                    : new AccountEntry(
                            entry.alias,
                            known.customer,
                            known.plan,
                            known.firstMember,
                            known.memberCount,
                            entry.delta,
                            entry.count,
                            entry.inFlight,
                            entry.grant);
        }

        private int aliasOf(AccountEntry entry, long number) {
            Integer known = ownAliases.get(entry.customer);
            int alias = known != null ? known : nextAlias++;
            if (known == null) {
                ownAliases.put(entry.customer, alias);
                if (ownAliases.size() > MAX_ALIASES) {
                    announcedInPacket.remove(
                            ownAliases.remove(ownAliases.keySet().iterator().next()));
                }
            }
            if (known == null || announcedInPacket.containsKey(alias)) {
                announcedInPacket.put(alias, number);
            }
            return alias;
        }
    }

    /** The amount as the wire will carry it. */
    static double roundToWire(double units) {
        return Math.round(units * UNIT_RESOLUTION) / UNIT_RESOLUTION;
    }

    /** A packet under construction. */
    static final class PeerPacketWriter {
        private final ByteBuffer bytes;
        private final CustomerAliases names;
        private final long number;

        PeerPacketWriter(
                CustomerAliases names,
                int incarnation,
                int forIncarnation,
                int accepted,
                long number,
                long highest,
                boolean asks,
                int pace,
                List<MemberVersion> news,
                int length) {
            bytes = ByteBuffer.allocate(length);
            this.names = names;
            this.number = number;
            bytes.position(CHECKSUM_BYTES)
                    .putShort((short) incarnation)
                    .putShort((short) forIncarnation)
                    .putShort((short) accepted);
            writeVarint(number);
            writeVarint(highest);
            writeVarint((long) pace << 1 | (asks ? 1 : 0));
            writeVarint(news.size());
            for (MemberVersion one : news) {
                writeVarint(one.member);
                writeVarint(one.version);
            }
        }

        /** The most pieces of news that leave room for half a packet of entries. */
        static int maxMembers() {
            return MEMBERS_BUDGET_BYTES / MAX_MEMBER_BYTES;
        }

        boolean hasRoom() {
            return bytes.remaining() >= MAX_ENTRY_BYTES;
        }

        void add(AccountEntry entry) {
            int alias = names.aliasOf(entry, number);
            boolean full = names.announcedInPacket.containsKey(alias);
            boolean whole = entry.delta == Math.rint(entry.delta);
            writeVarint((long) alias << FLAG_BITS
                    | (entry.count != null ? 1 : 0)
                    | (entry.inFlight != null ? 2 : 0)
                    | (entry.grant > 0 ? 4 : 0)
                    | (full ? 8 : 0)
                    | (whole ? 16 : 0));
            if (full) {
                writeVarint(entry.customer);
                writeVarint(entry.plan);
                writeVarint(entry.firstMember);
                writeVarint(entry.memberCount);
            }
            writeUnits(entry.delta / (whole ? UNIT_RESOLUTION : 1));
            if (entry.count != null) {
                writeUnits(entry.count);
            }
            if (entry.inFlight != null) {
                writeVarint(entry.inFlight);
            }
            if (entry.grant > 0) {
                writeUnits(entry.grant);
            }
        }

        byte[] finish() {
            bytes.flip();
            byte[] all = new byte[bytes.remaining()];
            bytes.get(all);
            return ByteBuffer.wrap(all).putShort(checksum(all)).array();
        }

        private void writeUnits(double units) {
            long value = Math.round(Math.max(-MAX_UNITS, Math.min(MAX_UNITS, units)) * UNIT_RESOLUTION);
            writeVarint(value << 1 ^ value >> 63);
        }

        private void writeVarint(long value) {
            long rest = value;
            for (; rest > 0x7F || rest < 0; rest >>>= 7) {
                bytes.put((byte) (rest | 0x80));
            }
            bytes.put((byte) rest);
        }
    }

    /** The packet in the bytes, or null where they are not exactly one. */
    static PeerPacket read(byte[] all) {
        if (all.length < HEADER_BYTES || ByteBuffer.wrap(all).getShort() != checksum(all)) {
            return null;
        }
        ByteBuffer bytes = ByteBuffer.wrap(all).position(CHECKSUM_BYTES);
        try {
            int incarnation = bytes.getShort() & UNSIGNED_SHORT_MASK;
            int forIncarnation = bytes.getShort() & UNSIGNED_SHORT_MASK;
            int accepted = bytes.getShort() & UNSIGNED_SHORT_MASK;
            long number = readVarint(bytes);
            long highest = readVarint(bytes);
            long pace = readVarint(bytes);
            List<MemberVersion> news = new ArrayList<>();
            for (long left = readVarint(bytes); left > 0; left--) {
                news.add(new MemberVersion((int) readVarint(bytes), (int) readVarint(bytes)));
            }
            List<AccountEntry> entries = new ArrayList<>();
            while (bytes.hasRemaining()) {
                int flags = (int) readVarint(bytes);
                boolean full = (flags & 8) != 0;
                entries.add(new AccountEntry(
                        flags >> FLAG_BITS,
                        full ? readVarint(bytes) : 0,
                        full ? (int) readVarint(bytes) : -1,
                        full ? (int) readVarint(bytes) : 0,
                        full ? (int) readVarint(bytes) : 0,
                        readUnits(bytes) * ((flags & 16) != 0 ? UNIT_RESOLUTION : 1),
                        (flags & 1) != 0 ? readUnits(bytes) : null,
                        (flags & 2) != 0 ? Integer.valueOf((int) readVarint(bytes)) : null,
                        (flags & 4) != 0 ? readUnits(bytes) : 0));
            }
            return new PeerPacket(
                    incarnation,
                    forIncarnation,
                    accepted,
                    number,
                    highest,
                    (pace & 1) != 0,
                    (int) (pace >> 1),
                    news,
                    entries);
        } catch (BufferUnderflowException e) {
            return null;
        }
    }

    private static long readVarint(ByteBuffer bytes) {
        long value = 0;
        for (int shift = 0; ; shift += 7) {
            byte part = bytes.get();
            value |= (long) (part & 0x7F) << shift;
            if (part >= 0) {
                return value;
            }
        }
    }

    private static Double readUnits(ByteBuffer bytes) {
        long value = readVarint(bytes);
        return (value >>> 1 ^ -(value & 1)) / UNIT_RESOLUTION;
    }

    private static short checksum(byte[] bytes) {
        CRC32 sum = new CRC32();
        sum.update(bytes, CHECKSUM_BYTES, bytes.length - CHECKSUM_BYTES);
        return (short) sum.getValue();
    }
}
