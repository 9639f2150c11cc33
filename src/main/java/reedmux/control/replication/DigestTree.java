package reedmux.control.replication;

import java.util.ArrayList;
import java.util.List;

/**
 * Digests over ranges of keys, by a hash of the key: two levels of {@link #RANGES_PER_LEVEL}. Each is the exclusive or
 * of the digests of what is in its range, so that a change costs the same whatever there is. Pure.
 */
public final class DigestTree {
    public static final int RANGES_PER_LEVEL = 64;
    private static final int HASH_SHIFT_BITS = 20;
    private final long[] fine = new long[RANGES_PER_LEVEL * RANGES_PER_LEVEL];
    private final long[] coarse = new long[RANGES_PER_LEVEL];

    /** Which of the fine ranges a key is in. */
    static int rangeOf(String key) {
        return key.hashCode() * 0x9E3779B1 >>> HASH_SHIFT_BITS;
    }

    /** Puts in what was not there, or takes out what was. */
    void toggle(Watermark mark) {
        int range = rangeOf(mark.key());
        long digest = mix(mix(mark.revision()) ^ mark.digest());
        for (int i = 0; i < mark.key().length(); i++) {
            digest = (digest ^ mark.key().charAt(i)) * 0x100000001B3L;
        }
        digest = mix(digest);
        fine[range] ^= digest;
        coarse[range / RANGES_PER_LEVEL] ^= digest;
    }

    private static long mix(long bits) {
        long mixed = (bits ^ bits >>> 30) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
        return mixed ^ mixed >>> 31;
    }

    /** Of the coarse ranges, or of the fine ones in some of these. */
    public List<Long> digestsOf(List<Integer> ranges) {
        List<Long> all = new ArrayList<>();
        if (ranges.isEmpty()) {
            for (long digest : coarse) {
                all.add(digest);
            }
        }
        for (int range : ranges) {
            for (int i = 0; i < RANGES_PER_LEVEL; i++) {
                all.add(fine[range * RANGES_PER_LEVEL + i]);
            }
        }
        return all;
    }

    /** The ranges, as in {@link #digestsOf}, whose digests are others here; null where they make no sense. */
    public List<Integer> differingRanges(List<Integer> ranges, List<Long> told) {
        for (int range : ranges) {
            if (range < 0 || range >= RANGES_PER_LEVEL) {
                return null;
            }
        }
        List<Long> own = digestsOf(ranges);
        if (ranges.size() > RANGES_PER_LEVEL || own.size() != told.size()) {
            return null;
        }
        List<Integer> others = new ArrayList<>();
        for (int i = 0; i < own.size(); i++) {
            if (!own.get(i).equals(told.get(i))) {
                others.add(
                        ranges.isEmpty()
                                ? i
                                : ranges.get(i / RANGES_PER_LEVEL) * RANGES_PER_LEVEL + i % RANGES_PER_LEVEL);
            }
        }
        return others;
    }
}
