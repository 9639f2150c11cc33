package reedmux.control.replication;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import reedmux.control.configuration.ConfigurationItem;
import reedmux.control.configuration.ConfigurationTable;

/**
 * What a process that only follows knows of the configuration: items that were merged from several sources, and how far
 * it has come with each of these. No item goes back to an earlier revision, whichever source it comes from. No I/O,
 * threads or clocks.
 */
public final class ConfigurationFollower {
    /** By key. */
    private final Map<String, ConfigurationItem> items = new TreeMap<>();
    /** Those items that are not in the table yet, as they were not valid together with it. */
    private final Map<String, ConfigurationItem> notApplied = new TreeMap<>();

    private final SnapshotAssembler snapshots = new SnapshotAssembler();
    /** By the source's name. */
    private final Map<String, ReplicationPosition> positions = new HashMap<>();

    private ConfigurationTable table;
    private String problem;

    /** The chunks of snapshots that aren't complete. */
    public SnapshotAssembler snapshotAssembler() {
        return snapshots;
    }

    /**
     * Merges what a source has committed, with the chunks that came before.
     *
     * @return whether the table has changed: not where everything was known, and not where the items aren't valid
     *     together until more of them come
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
            problem = next.problem(); // a part of a change has come; the rest is on its way
            return false;
        }
        notApplied.clear();
        problem = null;
        table = next;
        return true;
    }

    /** How far the changes of a source were applied. */
    public ReplicationPosition position(String source) {
        return positions.getOrDefault(source, ReplicationPosition.NONE);
    }

    /** The latest configuration that was valid; null before there was one. */
    public ConfigurationTable table() {
        return table;
    }

    /** Why the latest items aren't valid together; null where they are. */
    public String problem() {
        return problem;
    }

    /** Whether no item has ever come. */
    public boolean isEmpty() {
        return items.isEmpty();
    }
}
