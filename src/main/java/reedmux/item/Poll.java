package reedmux.item;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a process that pulls knows: the items, merged from several sources, and how far it has come with
 * each of these. Within its life an item never goes back. Pure.
 */
public final class Poll {
    private final Map<String, Item> items = new TreeMap<>();
    /** Those of them that are not in the table yet. */
    private final Map<String, Item> pending = new TreeMap<>();

    private final Snapshot snapshot = new Snapshot();
    private final Map<String, long[]> vector = new HashMap<>();
    private Table table;
    private String problem;

    /** What has come of items that come in pieces. */
    public Snapshot snapshot() {
        return snapshot;
    }

    /** Takes in what a source tells, with the pieces before; returns whether the table has changed. */
    public boolean take(String source, long life, long upTo, List<Item> told) {
        vector.put(source, new long[] {life, upTo});
        for (Item item : snapshot.end(source, life, told)) {
            Item had = items.get(item.key());
            if (had == null || item.compareTo(had) > 0) {
                items.put(item.key(), item);
                pending.put(item.key(), item);
            }
        }
        if (pending.isEmpty() && table != null) {
            return false;
        }
        Table next = table == null ? new Table() : table;
        if (!next.take(pending.values())) {
            problem = next.problem(); // half of what belongs together has come; the rest is on its way
            return false;
        }
        pending.clear();
        problem = null;
        table = next;
        return true;
    }

    /** The life of a source that is known, and the last change of it: two numbers. */
    public long[] from(String source) {
        return vector.getOrDefault(source, new long[] {0, 0});
    }

    /** The last that could be used, or null. */
    public Table table() {
        return table;
    }

    /** Why the newest items cannot be used together, or null. */
    public String problem() {
        return problem;
    }

    /** Whether nothing has ever been told. */
    public boolean empty() {
        return items.isEmpty();
    }
}
