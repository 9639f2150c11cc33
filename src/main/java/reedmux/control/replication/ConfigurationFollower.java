package reedmux.control.replication;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import reedmux.control.configuration.ConfigurationItem;
import reedmux.control.configuration.ConfigurationTable;

/**
 * The configuration of a process that follows the stores without taking part in consensus. It merges the items that it
 * receives from several sources and keeps its replication position for each source. An item never returns to an earlier
 * revision, no matter which source sends it. Uses no I/O, threads or clocks.
 */
public final class ConfigurationFollower {
    /** The latest revision of each item, by key. */
    private final Map<String, ConfigurationItem> items = new TreeMap<>();
    /** Items that are not in the table yet because the table would not be valid with them, by key. */
    private final Map<String, ConfigurationItem> notApplied = new TreeMap<>();

    private final SnapshotAssembler snapshots = new SnapshotAssembler();
    /** The replication positions, by the name of the source. */
    private final Map<String, ReplicationPosition> positions = new HashMap<>();

    private ConfigurationTable table;
    private String problem;

    /** The assembler that holds the chunks of incomplete snapshots. */
    public SnapshotAssembler snapshotAssembler() {
        return snapshots;
    }

    /**
     * Merges items that a source has committed, together with the chunks of the same snapshot received before.
     *
     * @return whether the table has changed. It does not change if all items were already known, or if the items are
     *     not valid together until further items are received.
     */
    public boolean onUpdate(String source, long incarnation, long upToChange, List<ConfigurationItem> update) {
        positions.put(source, new ReplicationPosition(incarnation, upToChange));
        for (ConfigurationItem item : snapshots.complete(source, incarnation, update)) {
            ConfigurationItem known = items.get(item.key());
            if (known == null || item.compareTo(known) > 0) {
                items.put(item.key(), item);
                notApplied.put(item.key(), item);
            }
        }
        if (notApplied.isEmpty() && table != null) {
            return false;
        }
        ConfigurationTable next = table == null ? new ConfigurationTable() : table;
        if (!next.applyIfValid(notApplied.values())) {
            problem = next.problem(); // only a part of a change has been received so far
            return false;
        }
        notApplied.clear();
        problem = null;
        table = next;
        return true;
    }

    /** Returns how far the changes of a source have been applied. */
    public ReplicationPosition position(String source) {
        return positions.getOrDefault(source, ReplicationPosition.NONE);
    }

    /** The latest valid configuration; null until there is one. */
    public ConfigurationTable table() {
        return table;
    }

    /** Why the latest items are not valid together, or null if they are valid. */
    public String problem() {
        return problem;
    }

    /** Whether no item has been received yet. */
    public boolean isEmpty() {
        return items.isEmpty();
    }
}
