package reedmux.control.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Which overtaken revisions of each item were taken, with what content: the newest of each item, and below
 * these a floor under which nothing is known. Merged as a union. Pure.
 */
public final class WatermarkTable {
    /** Of one item. */
    public static final int MAX_REVISIONS_PER_ITEM = 256;

    private final Map<String, TreeMap<Long, Long>> digestsByRevision = new HashMap<>();
    private final Map<String, Long> lowWatermarks = new HashMap<>();
    /** Each by the number of the change that brought it. */
    private final TreeMap<Long, Watermark> watermarksByChange = new TreeMap<>();

    private final Map<Watermark, Long> changeNumbers = new HashMap<>();
    private DigestTree digests;

    /** Whether a mark would be news. */
    boolean isNew(Watermark mark) {
        if (mark.revision() <= lowWatermark(mark.key())) {
            return false;
        }
        TreeMap<Long, Long> own = digestsByRevision.get(mark.key());
        return mark.digest() == Watermark.LOW_WATERMARK || own == null || !own.containsKey(mark.revision());
    }

    long lowWatermark(String key) {
        return lowWatermarks.getOrDefault(key, -1L);
    }

    /** The digest of a revision that was taken, or null. */
    Long digest(String key, long revision) {
        TreeMap<Long, Long> own = digestsByRevision.get(key);
        return own == null ? null : own.get(revision);
    }

    /** Takes in one that is news. */
    void add(Watermark mark, long change) {
        TreeMap<Long, Long> own = digestsByRevision.computeIfAbsent(mark.key(), name -> new TreeMap<>());
        if (mark.digest() == Watermark.LOW_WATERMARK) {
            raiseLowWatermark(mark, own);
        } else {
            own.put(mark.revision(), mark.digest());
        }
        watermarksByChange.put(change, mark);
        changeNumbers.put(mark, change);
        if (digests != null) {
            digests.toggle(mark);
        }
    }

    private void raiseLowWatermark(Watermark floor, TreeMap<Long, Long> own) {
        while (!own.isEmpty() && own.firstKey() <= floor.revision()) {
            Map.Entry<Long, Long> lowest = own.pollFirstEntry();
            remove(new Watermark(floor.key(), lowest.getKey(), lowest.getValue()));
        }
        Long before = lowWatermarks.put(floor.key(), floor.revision());
        if (before != null) {
            remove(new Watermark(floor.key(), before, Watermark.LOW_WATERMARK));
        }
    }

    private void remove(Watermark mark) {
        watermarksByChange.remove(changeNumbers.remove(mark));
        if (digests != null) {
            digests.toggle(mark);
        }
    }

    /** The floor that an item with too many marks needs, or null. */
    Watermark requiredLowWatermark(String key) {
        TreeMap<Long, Long> own = digestsByRevision.get(key);
        return own == null || own.size() <= MAX_REVISIONS_PER_ITEM
                ? null
                : new Watermark(key, own.firstKey(), Watermark.LOW_WATERMARK);
    }

    List<Watermark> since(long change) {
        return new ArrayList<>(watermarksByChange.tailMap(change, false).values());
    }

    /** The next that has become known after a change, or null. */
    Map.Entry<Long, Watermark> nextAfter(long change) {
        return watermarksByChange.higherEntry(change);
    }

    /** From now on its digests are kept there. */
    void attachDigests(DigestTree in) {
        digests = in;
        watermarksByChange.values().forEach(in::toggle);
    }

    Collection<Watermark> all() {
        return watermarksByChange.values();
    }
}
