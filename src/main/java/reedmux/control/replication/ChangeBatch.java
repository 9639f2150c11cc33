package reedmux.control.replication;

import java.util.List;
import reedmux.control.configuration.ConfigurationItem;

/**
 * A batch of changes of a {@link Replica}. A batch from {@link Replica#batchSince} lists them in the order in which
 * they were made; one from {@link Replica#batchInRanges} does not.
 *
 * @param upToChange the position of a follower that has applied this batch and all batches before it
 * @param last whether the replica has no changes after this batch
 */
public record ChangeBatch(long upToChange, List<ConfigurationItem> items, List<Watermark> watermarks, boolean last) {

    /**
     * Returns a batch of the first {@code maxEntries} items and the first {@code maxEntries} watermarks, or fewer. It
     * is never marked as the last batch.
     */
    public ChangeBatch first(int maxEntries) {
        return new ChangeBatch(upToChange, firstOf(items, maxEntries), firstOf(watermarks, maxEntries), false);
    }

    /** Returns the entries that {@link #first} omits, or null if it omits none. */
    public ChangeBatch remainder(int maxEntries) {
        if (items.size() <= maxEntries && watermarks.size() <= maxEntries) {
            return null;
        }
        return new ChangeBatch(upToChange, restOf(items, maxEntries), restOf(watermarks, maxEntries), last);
    }

    private static <T> List<T> firstOf(List<T> all, int maxEntries) {
        return all.subList(0, Math.min(maxEntries, all.size()));
    }

    private static <T> List<T> restOf(List<T> all, int maxEntries) {
        return all.subList(Math.min(maxEntries, all.size()), all.size());
    }
}
