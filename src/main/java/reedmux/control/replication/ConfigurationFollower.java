package reedmux.control.replication;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import reedmux.control.configuration.ConfigurationItem;
import reedmux.control.configuration.ConfigurationTable;

/**
 * What a process that pulls knows: the items, merged from several sources, and how far it has come with
 * each of these. Within its life an item never goes back. Pure.
 */
public final class ConfigurationFollower {
    private final Map<String, ConfigurationItem> items = new TreeMap<>();
    /** Those of them that are not in the table yet. */
    private final Map<String, ConfigurationItem> pending = new TreeMap<>();

    private final SnapshotAssembler snapshot = new SnapshotAssembler();
    private final Map<String, long[]> positions = new HashMap<>();
    private ConfigurationTable table;
    private String problem;

    /** What has come of items that come in pieces. */
    public SnapshotAssembler snapshot() {
        return snapshot;
    }

    /** Takes in what a source tells, with the pieces before; returns whether the table has changed. */
    public boolean onUpdate(String source, long life, long upTo, List<ConfigurationItem> told) {
        positions.put(source, new long[] {life, upTo});
        for (ConfigurationItem item : snapshot.complete(source, life, told)) {
            ConfigurationItem had = items.get(item.key());
            if (had == null || item.compareTo(had) > 0) {
                items.put(item.key(), item);
                pending.put(item.key(), item);
            }
        }
        if (pending.isEmpty() && table != null) {
            return false;
        }
        ConfigurationTable next = table == null ? new ConfigurationTable() : table;
        if (!next.applyIfValid(pending.values())) {
            problem = next.problem(); // half of what belongs together has come; the rest is on its way
            return false;
        }
        pending.clear();
        problem = null;
        table = next;
        return true;
    }

    /** The life of a source that is known, and the last change of it: two numbers. */
    public long[] position(String source) {
        return positions.getOrDefault(source, new long[] {0, 0});
    }

    /** The last that could be used, or null. */
    public ConfigurationTable table() {
        return table;
    }

    /** Why the newest items cannot be used together, or null. */
    public String problem() {
        return problem;
    }

    /** Whether nothing has ever been told. */
    public boolean isEmpty() {
        return items.isEmpty();
    }
}
