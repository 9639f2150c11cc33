package reedmux.policy;

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
 * {@code highest} and {@code accepted} acknowledge the other direction: bit i tells whether highest - i was
 * taken in. {@code pace} is the time in milliseconds that the sender wants between packets to it, and
 * {@code news} is what it learnt of members.
 */
record PeerPacket(
        int incarnation,
        int forIncarnation,
        int accepted,
        long number,
        long highest,
        boolean asks,
        int pace,
        List<News> news,
        List<Entry> entries) {
    /** Packets that one acknowledgement can speak of, and the bound of an incarnation. */
    static final int ACK_WINDOW = 16, INCARNATIONS = 1 << 16;
    /** Most bytes of a message's news, and the most that one entry and one piece of news can take. */
    private static final int NEWS_BYTES = 128;

    private static final int ENTRY = 30, NEWS = 6;
    private static final int CHECK = 2;
    private static final int HEAD = CHECK + 3 * Short.BYTES;
    private static final int MASK = 0xFFFF;
    private static final int FLAGS = 5;
    /** Customers of one edge with a short name at a time. */
    static final int NAMED = 1024;
    /** Units travel as whole hundredths, up to this amount. */
    private static final double GRAIN = 100, MOST = 1e6;

    /** How often a member has changed between heard and silent; odd means silent. */
    record News(int member, int version) {}

    /**
     * One customer's part: its gateways, the delta, where given its count and its open attempts, and the
     * units of the ceiling that pass to the receiver. {@code alias} stands for the first four once the other
     * side has them; {@code plan} is -1 where only the alias was sent.
     */
    record Entry(
            int alias,
            long customer,
            int plan,
            int first,
            int spread,
            double delta,
            Double count,
            Integer open,
            double grant) {
        Entry(long customer, int plan, int first, int spread, double delta, Double count, Integer open, double grant) {
            this(0, customer, plan, first, spread, delta, count, open, grant);
        }
    }

    /**
     * The short names of customers on one edge, ours and the other side's; both begin anew with a life. Only
     * the latest {@link #NAMED} hold, on both sides by the same rule: many customers come once and never
     * again, and names without end would fill the memory.
     */
    static final class Names {
        private final Map<Long, Integer> ours = new LinkedHashMap<>();
        private final Map<Integer, Long> sentIn = new HashMap<>();
        private final NavigableMap<Integer, Entry> theirs = new TreeMap<>();
        private int named;

        void clear() {
            named = 0;
            ours.clear();
            sentIn.clear();
            theirs.clear();
        }

        /** Names held, of both sides. */
        int size() {
            return ours.size() + sentIn.size() + theirs.size();
        }

        /** The packet was taken in: names that it told may stand alone. */
        void acknowledged(long number) {
            sentIn.values().removeIf(first -> first == number);
        }

        /** The entry with its customer; null where its alias says nothing here. */
        Entry full(Entry entry) {
            if (entry.plan >= 0) {
                theirs.put(entry.alias, entry);
                theirs.headMap(theirs.lastKey() - NAMED, true).clear();
                return entry;
            }
            Entry known = theirs.get(entry.alias);
            return known == null
                    ? null
                    : new Entry(
                            entry.alias,
                            known.customer,
                            known.plan,
                            known.first,
                            known.spread,
                            entry.delta,
                            entry.count,
                            entry.open,
                            entry.grant);
        }

        private int alias(Entry entry, long number) {
            Integer known = ours.get(entry.customer);
            int alias = known != null ? known : named++;
            if (known == null) {
                ours.put(entry.customer, alias);
                if (ours.size() > NAMED) {
                    sentIn.remove(ours.remove(ours.keySet().iterator().next()));
                }
            }
            if (known == null || sentIn.containsKey(alias)) {
                sentIn.put(alias, number);
            }
            return alias;
        }
    }

    /** The amount as the wire will carry it. */
    static double grained(double units) {
        return Math.round(units * GRAIN) / GRAIN;
    }

    /** A packet under construction. */
    static final class Writer {
        private final ByteBuffer bytes;
        private final Names names;
        private final long number;

        Writer(
                Names names,
                int incarnation,
                int forIncarnation,
                int accepted,
                long number,
                long highest,
                boolean asks,
                int pace,
                List<News> news,
                int length) {
            bytes = ByteBuffer.allocate(length);
            this.names = names;
            this.number = number;
            bytes.position(CHECK)
                    .putShort((short) incarnation)
                    .putShort((short) forIncarnation)
                    .putShort((short) accepted);
            put(number);
            put(highest);
            put((long) pace << 1 | (asks ? 1 : 0));
            put(news.size());
            for (News one : news) {
                put(one.member);
                put(one.version);
            }
        }

        /** The most pieces of news that leave room for half a packet of entries. */
        static int newsRoom() {
            return NEWS_BYTES / NEWS;
        }

        boolean hasRoom() {
            return bytes.remaining() >= ENTRY;
        }

        void add(Entry entry) {
            int alias = names.alias(entry, number);
            boolean full = names.sentIn.containsKey(alias);
            boolean whole = entry.delta == Math.rint(entry.delta);
            put((long) alias << FLAGS
                    | (entry.count != null ? 1 : 0)
                    | (entry.open != null ? 2 : 0)
                    | (entry.grant > 0 ? 4 : 0)
                    | (full ? 8 : 0)
                    | (whole ? 16 : 0));
            if (full) {
                put(entry.customer);
                put(entry.plan);
                put(entry.first);
                put(entry.spread);
            }
            putSigned(entry.delta / (whole ? GRAIN : 1));
            if (entry.count != null) {
                putSigned(entry.count);
            }
            if (entry.open != null) {
                put(entry.open);
            }
            if (entry.grant > 0) {
                putSigned(entry.grant);
            }
        }

        byte[] finish() {
            bytes.flip();
            byte[] all = new byte[bytes.remaining()];
            bytes.get(all);
            return ByteBuffer.wrap(all).putShort(check(all)).array();
        }

        private void putSigned(double units) {
            long value = Math.round(Math.max(-MOST, Math.min(MOST, units)) * GRAIN);
            put(value << 1 ^ value >> 63);
        }

        private void put(long value) {
            long rest = value;
            for (; rest > 0x7F || rest < 0; rest >>>= 7) {
                bytes.put((byte) (rest | 0x80));
            }
            bytes.put((byte) rest);
        }
    }

    /** The packet in the bytes, or null where they are not exactly one. */
    static PeerPacket read(byte[] all) {
        if (all.length < HEAD || ByteBuffer.wrap(all).getShort() != check(all)) {
            return null;
        }
        ByteBuffer bytes = ByteBuffer.wrap(all).position(CHECK);
        try {
            int incarnation = bytes.getShort() & MASK;
            int forIncarnation = bytes.getShort() & MASK;
            int accepted = bytes.getShort() & MASK;
            long number = get(bytes);
            long highest = get(bytes);
            long pace = get(bytes);
            List<News> news = new ArrayList<>();
            for (long left = get(bytes); left > 0; left--) {
                news.add(new News((int) get(bytes), (int) get(bytes)));
            }
            List<Entry> entries = new ArrayList<>();
            while (bytes.hasRemaining()) {
                int flags = (int) get(bytes);
                boolean full = (flags & 8) != 0;
                entries.add(new Entry(
                        flags >> FLAGS,
                        full ? get(bytes) : 0,
                        full ? (int) get(bytes) : -1,
                        full ? (int) get(bytes) : 0,
                        full ? (int) get(bytes) : 0,
                        getSigned(bytes) * ((flags & 16) != 0 ? GRAIN : 1),
                        (flags & 1) != 0 ? getSigned(bytes) : null,
                        (flags & 2) != 0 ? Integer.valueOf((int) get(bytes)) : null,
                        (flags & 4) != 0 ? getSigned(bytes) : 0));
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

    private static long get(ByteBuffer bytes) {
        long value = 0;
        for (int shift = 0; ; shift += 7) {
            byte part = bytes.get();
            value |= (long) (part & 0x7F) << shift;
            if (part >= 0) {
                return value;
            }
        }
    }

    private static Double getSigned(ByteBuffer bytes) {
        long value = get(bytes);
        return (value >>> 1 ^ -(value & 1)) / GRAIN;
    }

    private static short check(byte[] bytes) {
        CRC32 sum = new CRC32();
        sum.update(bytes, CHECK, bytes.length - CHECK);
        return (short) sum.getValue();
    }
}
