package reedmux.control.replication;

import java.util.List;
import reedmux.control.configuration.ConfigurationItem;

/**
 * Some of what has changed in a {@link Replica}, in the order of the changes.
 *
 * @param upToChange the change that a follower has reached once it has applied this and everything before it
 * @param last whether nothing has changed since
 */
public record ChangeBatch(long upToChange, List<ConfigurationItem> items, List<Watermark> watermarks, boolean last) {

    /** At most {@code maxEntries} of the items and of the watermarks, each from the first on; never the last batch. */
    public ChangeBatch first(int maxEntries) {
        return new ChangeBatch(upToChange, firstOf(items, maxEntries), firstOf(watermarks, maxEntries), false);
    }

    /** What {@link #first} leaves; null for nothing. */
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
