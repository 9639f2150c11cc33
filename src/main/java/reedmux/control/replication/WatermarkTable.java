package reedmux.control.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The watermarks that one store has: for each item its latest overtaken revisions, and below these a low watermark,
 * under which nothing is known. Two tables are merged as a union, so that all stores end with the same one.
 */
public final class WatermarkTable {
    /** Beyond this the low watermark of an item is raised; operators repeat changes of the last few revisions only. */
    public static final int MAX_REVISIONS_PER_ITEM = 256;

    /** What {@link #lowWatermark} returns where there is none; revisions are from 0. */
    private static final long NO_LOW_WATERMARK = -1;

    /** By the item's key and the revision. */
    private final Map<String, TreeMap<Long, Long>> digestsByRevision = new HashMap<>();
    /** By the item's key. */
    private final Map<String, Long> lowWatermarks = new HashMap<>();

    private final TreeMap<Long, Watermark> watermarksByChange = new TreeMap<>();
    private final Map<Watermark, Long> changeNumbers = new HashMap<>();
    /** Null until {@link #attachDigests}. */
    private DigestTree digests;

    /** Whether {@link #add} would change anything. */
    boolean isNew(Watermark watermark) {
        if (watermark.revision() <= lowWatermark(watermark.key())) {
            return false;
        }
        TreeMap<Long, Long> ofItem = digestsByRevision.get(watermark.key());
        return watermark.digest() == Watermark.LOW_WATERMARK
                || ofItem == null
                || !ofItem.containsKey(watermark.revision());
    }

    /** The revision up to which nothing is known of an item; below 0 where everything is. */
    long lowWatermark(String key) {
        return lowWatermarks.getOrDefault(key, NO_LOW_WATERMARK);
    }

    /** The digest of an overtaken revision; null where it is not known. */
    Long digest(String key, long revision) {
        TreeMap<Long, Long> ofItem = digestsByRevision.get(key);
        return ofItem == null ? null : ofItem.get(revision);
    }

    /** Adds a watermark that {@link #isNew}, under the number of the change that has brought it. */
    void add(Watermark watermark, long change) {
        TreeMap<Long, Long> ofItem = digestsByRevision.computeIfAbsent(watermark.key(), key -> new TreeMap<>());
        if (watermark.digest() == Watermark.LOW_WATERMARK) {
            raiseLowWatermark(watermark, ofItem);
        } else {
            ofItem.put(watermark.revision(), watermark.digest());
        }
        watermarksByChange.put(change, watermark);
        changeNumbers.put(watermark, change);
        if (digests != null) {
            digests.toggle(watermark);
        }
    }

    private void raiseLowWatermark(Watermark lowWatermark, TreeMap<Long, Long> ofItem) {
        while (!ofItem.isEmpty() && ofItem.firstKey() <= lowWatermark.revision()) {
            Map.Entry<Long, Long> lowest = ofItem.pollFirstEntry();
            remove(new Watermark(lowWatermark.key(), lowest.getKey(), lowest.getValue()));
        }
        Long before = lowWatermarks.put(lowWatermark.key(), lowWatermark.revision());
        if (before != null) {
            remove(new Watermark(lowWatermark.key(), before, Watermark.LOW_WATERMARK));
        }
    }

    private void remove(Watermark watermark) {
        watermarksByChange.remove(changeNumbers.remove(watermark));
        if (digests != null) {
            digests.toggle(watermark);
        }
    }

    /** The low watermark that is due for an item, as it has too many revisions; null where it hasn't. */
    Watermark requiredLowWatermark(String key) {
        TreeMap<Long, Long> ofItem = digestsByRevision.get(key);
        return ofItem == null || ofItem.size() <= MAX_REVISIONS_PER_ITEM
                ? null
                : new Watermark(key, ofItem.firstKey(), Watermark.LOW_WATERMARK);
    }

    /** The watermarks that have come after a change. */
    List<Watermark> since(long change) {
        return new ArrayList<>(watermarksByChange.tailMap(change, false).values());
    }

    /** The next watermark that has come after a change, with its change; null for none. */
    Map.Entry<Long, Watermark> nextAfter(long change) {
        return watermarksByChange.higherEntry(change);
    }

    /** Keeps all watermarks, now and from now on, in these digests, too. */
    void attachDigests(DigestTree tree) {
        digests = tree;
        for (Watermark watermark : watermarksByChange.values()) {
            tree.toggle(watermark);
        }
    }

    /** All watermarks, in the order in which they came; a view. */
    Collection<Watermark> all() {
        return watermarksByChange.values();
    }
}
