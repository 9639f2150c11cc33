package reedmux.item;

import java.util.ArrayList;
import java.util.List;

/**
 * Digests over ranges of keys, by a hash of the key: two levels of {@link #RANGES}. Each is the exclusive or
 * of the digests of what is in its range, so that a change costs the same whatever there is. Pure.
 */
public final class Digests {
    public static final int RANGES = 64;
    private static final int SHIFT = 20;
    private final long[] fine = new long[RANGES * RANGES];
    private final long[] coarse = new long[RANGES];

    /** Which of the fine ranges a key is in. */
    static int range(String key) {
        return key.hashCode() * 0x9E3779B1 >>> SHIFT;
    }

    /** Puts in what was not there, or takes out what was. */
    void flip(Mark mark) {
        int range = range(mark.key());
        long digest = mix(mix(mark.revision()) ^ mark.digest());
        for (int i = 0; i < mark.key().length(); i++) {
            digest = (digest ^ mark.key().charAt(i)) * 0x100000001B3L;
        }
        digest = mix(digest);
        fine[range] ^= digest;
        coarse[range / RANGES] ^= digest;
    }

    private static long mix(long bits) {
        long mixed = (bits ^ bits >>> 30) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
        return mixed ^ mixed >>> 31;
    }

    /** Of the coarse ranges, or of the fine ones in some of these. */
    public List<Long> of(List<Integer> ranges) {
        List<Long> all = new ArrayList<>();
        if (ranges.isEmpty()) {
            for (long digest : coarse) {
                all.add(digest);
            }
        }
        for (int range : ranges) {
            for (int i = 0; i < RANGES; i++) {
                all.add(fine[range * RANGES + i]);
            }
        }
        return all;
    }

    /** The ranges, as in {@link #of}, whose digests are others here; null where they make no sense. */
    public List<Integer> others(List<Integer> ranges, List<Long> told) {
        for (int range : ranges) {
            if (range < 0 || range >= RANGES) {
                return null;
            }
        }
        List<Long> own = of(ranges);
        if (ranges.size() > RANGES || own.size() != told.size()) {
            return null;
        }
        List<Integer> others = new ArrayList<>();
        for (int i = 0; i < own.size(); i++) {
            if (!own.get(i).equals(told.get(i))) {
                others.add(ranges.isEmpty() ? i : ranges.get(i / RANGES) * RANGES + i % RANGES);
            }
        }
        return others;
    }
}
