package reedmux.control.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import reedmux.control.configuration.ConfigurationItem;

/**
 * Items that come in pieces, by their source. They are taken in with the last piece, as half of a call has no
 * effect; what came before a cut is kept, as long as the source lives. Pure.
 */
public final class SnapshotAssembler {
    private final Map<String, PartialSnapshot> partialSnapshots = new HashMap<>();

    /** {@code upTo}: as of which change all is there, or below nought where that is not known yet. */
    private static final class PartialSnapshot {
        private final long incarnation;
        private long upToChange;
        private final List<ConfigurationItem> items = new ArrayList<>();

        private PartialSnapshot(long life) {
            this.incarnation = life;
        }
    }

    /** A piece that is not the last. */
    public void addChunk(String source, long life, long upTo, Collection<ConfigurationItem> items) {
        PartialSnapshot part = partialSnapshots.get(source);
        if (part == null || part.incarnation != life) {
            part = new PartialSnapshot(life);
            partialSnapshots.put(source, part);
        }
        part.upToChange = upTo;
        part.items.addAll(items);
    }

    /** The last piece: returns all that came. */
    public List<ConfigurationItem> complete(String source, long life, List<ConfigurationItem> items) {
        PartialSnapshot part = partialSnapshots.remove(source);
        if (part == null || part.incarnation != life) {
            return items;
        }
        part.items.addAll(items);
        return part.items;
    }

    /**
     * After a cut: the change from which on the rest is to be asked for; below nought where there is
     * none.
     */
    public long resumeFrom(String source, long life) {
        PartialSnapshot part = partialSnapshots.get(source);
        if (part != null && part.incarnation == life && part.upToChange >= 0) {
            return part.upToChange;
        }
        partialSnapshots.remove(source);
        return -1;
    }
}
