package reedmux.control.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import reedmux.control.configuration.ConfigurationItem;

/**
 * Collects the chunks in which a source sends many items. Nothing is applied before the last chunk has come, as items
 * that belong together may be in two of them. What has come is kept over a lost connection, as long as the source runs.
 */
public final class SnapshotAssembler {
    /** What {@link #resumeFrom} returns where nothing has come, or a chunk was as of no change. */
    private static final long UNKNOWN_CHANGE = -1;

    /** By the source's name. */
    private final Map<String, PartialSnapshot> partialSnapshots = new HashMap<>();

    private static final class PartialSnapshot {
        private final long incarnation;
        /** The change up to which everything has come; below 0 where that is not known yet. */
        private long upToChange;

        private final List<ConfigurationItem> items = new ArrayList<>();

        private PartialSnapshot(long incarnation) {
            this.incarnation = incarnation;
        }
    }

    /** A chunk that is not the last one; {@code upToChange} is below 0 where it is as of no change. */
    public void addChunk(String source, long incarnation, long upToChange, Collection<ConfigurationItem> items) {
        PartialSnapshot partial = partialSnapshots.get(source);
        if (partial == null || partial.incarnation != incarnation) {
            partial = new PartialSnapshot(incarnation);
            partialSnapshots.put(source, partial);
        }
        partial.upToChange = upToChange;
        partial.items.addAll(items);
    }

    /** The last chunk, which may be the only one; returns the items of all. */
    public List<ConfigurationItem> complete(String source, long incarnation, List<ConfigurationItem> items) {
        PartialSnapshot partial = partialSnapshots.remove(source);
        if (partial == null || partial.incarnation != incarnation) {
            return items;
        }
        partial.items.addAll(items);
        return partial.items;
    }

    /**
     * On a new connection to a source: the change behind which its next chunk begins. Where that is below 0 no snapshot
     * can be resumed, and what has come of one is dropped.
     */
    public long resumeFrom(String source, long incarnation) {
        PartialSnapshot partial = partialSnapshots.get(source);
        if (partial != null && partial.incarnation == incarnation && partial.upToChange >= 0) {
            return partial.upToChange;
        }
        partialSnapshots.remove(source);
        return UNKNOWN_CHANGE;
    }
}
