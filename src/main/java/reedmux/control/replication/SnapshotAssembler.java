package reedmux.control.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import reedmux.control.configuration.ConfigurationItem;

/**
 * Assembles snapshots that sources send in chunks. No chunk is applied before the last one has been received, because
 * items that are only valid together may be in different chunks. After a connection loss, the chunks that were received
 * are kept as long as the source runs in the same incarnation.
 */
public final class SnapshotAssembler {
    /** Returned by {@link #resumeFrom} if no chunk was received, or the last one had no change number. */
    private static final long UNKNOWN_CHANGE = -1;

    /** The incomplete snapshots, by the name of the source. */
    private final Map<String, PartialSnapshot> partialSnapshots = new HashMap<>();

    private static final class PartialSnapshot {
        private final long incarnation;
        /** The change up to which all items have been received; negative if unknown. */
        private long upToChange;

        private final List<ConfigurationItem> items = new ArrayList<>();

        private PartialSnapshot(long incarnation) {
            this.incarnation = incarnation;
        }
    }

    /** Adds a chunk that is not the last one; {@code upToChange} is negative if the chunk has no change number. */
    public void addChunk(String source, long incarnation, long upToChange, Collection<ConfigurationItem> items) {
        PartialSnapshot partial = partialSnapshots.get(source);
        if (partial == null || partial.incarnation != incarnation) {
            partial = new PartialSnapshot(incarnation);
            partialSnapshots.put(source, partial);
        }
        partial.upToChange = upToChange;
        partial.items.addAll(items);
    }

    /** Completes a snapshot with its last chunk, which may be the only one; returns the items of all chunks. */
    public List<ConfigurationItem> complete(String source, long incarnation, List<ConfigurationItem> items) {
        PartialSnapshot partial = partialSnapshots.remove(source);
        if (partial == null || partial.incarnation != incarnation) {
            return items;
        }
        partial.items.addAll(items);
        return partial.items;
    }

    /**
     * Returns the change after which the next chunk has to start on a new connection to a source. If the result is
     * negative, no snapshot can be resumed and the chunks received so far are discarded.
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
