package reedmux.control.replication;

import java.util.ArrayList;
import java.util.List;

/**
 * Digests by which two replicas find the keys in which they differ without sending everything: a Merkle tree of two
 * levels. A key is in one of {@link #FINE_RANGES} fine ranges by its hash, and {@link #RANGES_PER_LEVEL} fine ranges
 * are one coarse range. The digest of a range is the exclusive or of the digests of its entries, so that an entry is
 * added or removed at the same cost whatever there is. The digests are compared between versions, and may never change.
 */
public final class DigestTree {
    /** How many coarse ranges there are, and how many fine ones in each of these. */
    public static final int RANGES_PER_LEVEL = 64;
    /** How many fine ranges there are. */
    static final int FINE_RANGES = RANGES_PER_LEVEL * RANGES_PER_LEVEL;

    /** The golden ratio's fraction in 32 bits: spreads the hashes of similar keys (Fibonacci hashing). */
    private static final int HASH_MULTIPLIER = 0x9E3779B1;
    /** Leaves the 12 upper bits of a hash, as many as {@link #FINE_RANGES} needs. */
    private static final int HASH_SHIFT_BITS = 20;

    private static final long FNV_PRIME = 0x100000001B3L;
    private final long[] fine = new long[FINE_RANGES];
    private final long[] coarse = new long[RANGES_PER_LEVEL];

    /** The fine range of a key. */
    static int rangeOf(String key) {
        return key.hashCode() * HASH_MULTIPLIER >>> HASH_SHIFT_BITS;
    }

    /** Adds an entry that is not there, or removes one that is. A committed item is represented by its watermark. */
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
     * Digests in the order of their ranges.
     *
     * @param coarseRanges those whose fine ranges' digests are wanted; empty for the digests of all coarse ranges
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
     * The ranges whose digests are others here than at a peer.
     *
     * @param coarseRanges as for {@link #digestsOf}
     * @param theirs what {@link #digestsOf} has returned at the peer
     * @return coarse ranges where {@code coarseRanges} is empty, else fine ones; null where the arguments make no sense
     */
    public List<Integer> differingRanges(List<Integer> coarseRanges, List<Long> theirs) {
        if (coarseRanges.size() > RANGES_PER_LEVEL) {
            return null;
        }
        for (int range : coarseRanges) {
            if (range < 0 || range >= RANGES_PER_LEVEL) {
                return null;
            }
        }
        List<Long> ours = digestsOf(coarseRanges);
        if (ours.size() != theirs.size()) {
            return null;
        }
        List<Integer> differing = new ArrayList<>();
        for (int i = 0; i < ours.size(); i++) {
            if (!ours.get(i).equals(theirs.get(i))) {
                boolean isCoarse = coarseRanges.isEmpty();
                differing.add(isCoarse ? i : fineRange(coarseRanges.get(i / RANGES_PER_LEVEL), i % RANGES_PER_LEVEL));
            }
        }
        return differing;
    }
}
