package reedmux.control.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The watermarks of one store. For each item, the table holds the digests of the latest superseded revisions and a low
 * watermark; the digests of all revisions up to the low watermark have been discarded. Tables are merged by set union,
 * so all stores converge to the same table.
 */
public final class WatermarkTable {
    /**
     * The maximum number of superseded revisions retained for each item; with more, the low watermark is raised.
     * Operators only retry changes of the last few revisions.
     */
    public static final int MAX_REVISIONS_PER_ITEM = 256;

    /** Returned by {@link #lowWatermark} if an item has none; the lowest revision is 0. */
    private static final long NO_LOW_WATERMARK = -1;

    /** The digests of superseded revisions, by the key of the item and the revision. */
    private final Map<String, TreeMap<Long, Long>> digestsByRevision = new HashMap<>();
    /** The low watermarks, by the key of the item. */
    private final Map<String, Long> lowWatermarks = new HashMap<>();

    private final TreeMap<Long, Watermark> watermarksByChange = new TreeMap<>();
    private final Map<Watermark, Long> changeNumbers = new HashMap<>();
    /** The digests that are kept up to date; null until {@link #attachDigests} is called. */
    private DigestTree digests;

    /** Whether {@link #add} would change the table. */
    boolean isNew(Watermark watermark) {
        if (watermark.revision() <= lowWatermark(watermark.key())) {
            return false;
        }
        TreeMap<Long, Long> itemDigests = digestsByRevision.get(watermark.key());
        return watermark.digest() == Watermark.LOW_WATERMARK
                || itemDigests == null
                || !itemDigests.containsKey(watermark.revision());
    }

    /** Returns the revision up to which the digests of an item have been discarded; negative if none have been. */
    long lowWatermark(String key) {
        return lowWatermarks.getOrDefault(key, NO_LOW_WATERMARK);
    }

    /** Returns the digest of a superseded revision, or null if it is not known. */
    Long digest(String key, long revision) {
        TreeMap<Long, Long> itemDigests = digestsByRevision.get(key);
        return itemDigests == null ? null : itemDigests.get(revision);
    }

    /** Adds a watermark for which {@link #isNew} returns true, under the given change number. */
    void add(Watermark watermark, long change) {
        TreeMap<Long, Long> itemDigests = digestsByRevision.computeIfAbsent(watermark.key(), key -> new TreeMap<>());
        if (watermark.digest() == Watermark.LOW_WATERMARK) {
            raiseLowWatermark(watermark, itemDigests);
        } else {
            itemDigests.put(watermark.revision(), watermark.digest());
        }
        watermarksByChange.put(change, watermark);
        changeNumbers.put(watermark, change);
        if (digests != null) {
            digests.toggle(watermark);
        }
    }

    private void raiseLowWatermark(Watermark lowWatermark, TreeMap<Long, Long> itemDigests) {
        while (!itemDigests.isEmpty() && itemDigests.firstKey() <= lowWatermark.revision()) {
            Map.Entry<Long, Long> lowest = itemDigests.pollFirstEntry();
            remove(new Watermark(lowWatermark.key(), lowest.getKey(), lowest.getValue()));
        }
        Long previous = lowWatermarks.put(lowWatermark.key(), lowWatermark.revision());
        if (previous != null) {
            remove(new Watermark(lowWatermark.key(), previous, Watermark.LOW_WATERMARK));
        }
    }

    private void remove(Watermark watermark) {
        watermarksByChange.remove(changeNumbers.remove(watermark));
        if (digests != null) {
            digests.toggle(watermark);
        }
    }

    /** Returns the low watermark to add for an item that has too many revisions, or null if it has not. */
    Watermark requiredLowWatermark(String key) {
        TreeMap<Long, Long> itemDigests = digestsByRevision.get(key);
        return itemDigests == null || itemDigests.size() <= MAX_REVISIONS_PER_ITEM
                ? null
                : new Watermark(key, itemDigests.firstKey(), Watermark.LOW_WATERMARK);
    }

    /** Returns the watermarks that were added after a change. */
    List<Watermark> since(long change) {
        return new ArrayList<>(watermarksByChange.tailMap(change, false).values());
    }

    /** Returns the first watermark that was added after a change, with its change number, or null. */
    Map.Entry<Long, Watermark> nextAfter(long change) {
        return watermarksByChange.higherEntry(change);
    }

    /** Adds all present watermarks to the given digests, and keeps these up to date from then on. */
    void attachDigests(DigestTree tree) {
        digests = tree;
        for (Watermark watermark : watermarksByChange.values()) {
            tree.toggle(watermark);
        }
    }

    /** Returns a live view of all watermarks, in the order in which they were added. */
    Collection<Watermark> all() {
        return watermarksByChange.values();
    }
}
