package reedmux.control.replication;

import java.util.ArrayList;
import java.util.List;

/**
 * A Merkle tree of two levels, by which two replicas find the keys in which they differ without transferring all
 * entries. The hash of a key assigns it to one of {@link #FINE_RANGES} fine ranges, and {@link #RANGES_PER_LEVEL}
 * consecutive fine ranges form one coarse range. The digest of a range is the exclusive or of the digests of its
 * entries, so adding or removing an entry takes constant time. Processes of different versions compare their digests,
 * so the way in which digests are computed must never change.
 */
public final class DigestTree {
    /** The number of coarse ranges, and of fine ranges in each coarse range. */
    public static final int RANGES_PER_LEVEL = 64;
    /** The total number of fine ranges. */
    static final int FINE_RANGES = RANGES_PER_LEVEL * RANGES_PER_LEVEL;

    /**
     * The fractional part of the golden ratio, scaled to 32 bits. Multiplying by it spreads the hashes of similar keys
     * over all ranges (Fibonacci hashing).
     */
    private static final int HASH_MULTIPLIER = 0x9E3779B1;
    /** Shifts the upper 12 bits of a 32-bit hash to the bottom; they select one of {@link #FINE_RANGES}. */
    private static final int HASH_SHIFT_BITS = 20;

    private static final long FNV_PRIME = 0x100000001B3L;
    private final long[] fine = new long[FINE_RANGES];
    private final long[] coarse = new long[RANGES_PER_LEVEL];

    /** Returns the fine range of a key. */
    static int rangeOf(String key) {
        return key.hashCode() * HASH_MULTIPLIER >>> HASH_SHIFT_BITS;
    }

    /** Adds an absent entry or removes a present one. A committed item is represented by its watermark. */
    void toggle(Watermark entry) {
        int range = rangeOf(entry.key());
        long digest = mix(mix(entry.revision()) ^ entry.digest());
        for (int i = 0; i < entry.key().length(); i++) {
            digest = (digest ^ entry.key().charAt(i)) * FNV_PRIME;
        }
        digest = mix(digest);
        fine[range] ^= digest;
        coarse[range / RANGES_PER_LEVEL] ^= digest;
    }

    /** The finalizer of SplitMix64. */
    private static long mix(long bits) {
        long mixed = (bits ^ bits >>> 30) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
        return mixed ^ mixed >>> 31;
    }

    /**
     * Returns the digests of ranges, in the order of these ranges.
     *
     * @param coarseRanges the coarse ranges whose fine ranges' digests are returned; if empty, the digests of all
     *     coarse ranges are returned
     */
    public List<Long> digestsOf(List<Integer> coarseRanges) {
        List<Long> digests = new ArrayList<>();
        if (coarseRanges.isEmpty()) {
            for (long digest : coarse) {
                digests.add(digest);
            }
        }
        for (int range : coarseRanges) {
            for (int i = 0; i < RANGES_PER_LEVEL; i++) {
                digests.add(fine[fineRange(range, i)]);
            }
        }
        return digests;
    }

    private static int fineRange(int coarseRange, int index) {
        return coarseRange * RANGES_PER_LEVEL + index;
    }

    /**
     * Returns the ranges whose digests differ from those of a peer.
     *
     * @param coarseRanges as for {@link #digestsOf}
     * @param peerDigests the peer's result of {@link #digestsOf}
     * @return coarse ranges if {@code coarseRanges} is empty, fine ranges otherwise; null if a range is out of bounds,
     *     there are too many ranges, or the number of digests does not match
     */
    public List<Integer> differingRanges(List<Integer> coarseRanges, List<Long> peerDigests) {
        if (coarseRanges.size() > RANGES_PER_LEVEL) {
            return null;
        }
        for (int range : coarseRanges) {
            if (range < 0 || range >= RANGES_PER_LEVEL) {
                return null;
            }
        }
        List<Long> localDigests = digestsOf(coarseRanges);
        if (localDigests.size() != peerDigests.size()) {
            return null;
        }
        List<Integer> differing = new ArrayList<>();
        for (int i = 0; i < localDigests.size(); i++) {
            if (!localDigests.get(i).equals(peerDigests.get(i))) {
                boolean isCoarse = coarseRanges.isEmpty();
                differing.add(isCoarse ? i : fineRange(coarseRanges.get(i / RANGES_PER_LEVEL), i % RANGES_PER_LEVEL));
            }
        }
        return differing;
    }
}
