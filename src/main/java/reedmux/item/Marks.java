package reedmux.item;

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
final class Marks {
    /** Of one item. */
    static final int MOST = 256;

    private final Map<String, TreeMap<Long, Long>> taken = new HashMap<>();
    private final Map<String, Long> floors = new HashMap<>();
    /** Each by the number of the change that brought it. */
    private final TreeMap<Long, Mark> byChange = new TreeMap<>();

    private final Map<Mark, Long> changedAt = new HashMap<>();
    private Digests digests;

    /** Whether a mark would be news. */
    boolean isNews(Mark mark) {
        if (mark.revision() <= floor(mark.key())) {
            return false;
        }
        TreeMap<Long, Long> own = taken.get(mark.key());
        return mark.digest() == Mark.FLOOR || own == null || !own.containsKey(mark.revision());
    }

    long floor(String key) {
        return floors.getOrDefault(key, -1L);
    }

    /** The digest of a revision that was taken, or null. */
    Long digest(String key, long revision) {
        TreeMap<Long, Long> own = taken.get(key);
        return own == null ? null : own.get(revision);
    }

    /** Takes in one that is news. */
    void add(Mark mark, long change) {
        TreeMap<Long, Long> own = taken.computeIfAbsent(mark.key(), name -> new TreeMap<>());
        if (mark.digest() == Mark.FLOOR) {
            raise(mark, own);
        } else {
            own.put(mark.revision(), mark.digest());
        }
        byChange.put(change, mark);
        changedAt.put(mark, change);
        if (digests != null) {
            digests.flip(mark);
        }
    }

    private void raise(Mark floor, TreeMap<Long, Long> own) {
        while (!own.isEmpty() && own.firstKey() <= floor.revision()) {
            Map.Entry<Long, Long> lowest = own.pollFirstEntry();
            forget(new Mark(floor.key(), lowest.getKey(), lowest.getValue()));
        }
        Long before = floors.put(floor.key(), floor.revision());
        if (before != null) {
            forget(new Mark(floor.key(), before, Mark.FLOOR));
        }
    }

    private void forget(Mark mark) {
        byChange.remove(changedAt.remove(mark));
        if (digests != null) {
            digests.flip(mark);
        }
    }

    /** The floor that an item with too many marks needs, or null. */
    Mark due(String key) {
        TreeMap<Long, Long> own = taken.get(key);
        return own == null || own.size() <= MOST ? null : new Mark(key, own.firstKey(), Mark.FLOOR);
    }

    List<Mark> since(long change) {
        return new ArrayList<>(byChange.tailMap(change, false).values());
    }

    /** The next that has become known after a change, or null. */
    Map.Entry<Long, Mark> after(long change) {
        return byChange.higherEntry(change);
    }

    /** From now on its digests are kept there. */
    void digests(Digests in) {
        digests = in;
        byChange.values().forEach(in::flip);
    }

    Collection<Mark> all() {
        return byChange.values();
    }
}
