package reedmux.item;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Items that come in pieces, by their source. They are taken in with the last piece, as half of a call has no
 * effect; what came before a cut is kept, as long as the source lives. Pure.
 */
public final class Snapshot {
    private final Map<String, Part> parts = new HashMap<>();

    /** {@code upTo}: as of which change all is there, or below nought where that is not known yet. */
    private static final class Part {
        private final long life;
        private long upTo;
        private final List<Item> items = new ArrayList<>();

        private Part(long life) {
            this.life = life;
        }
    }

    /** A piece that is not the last. */
    public void piece(String source, long life, long upTo, Collection<Item> items) {
        Part part = parts.get(source);
        if (part == null || part.life != life) {
            part = new Part(life);
            parts.put(source, part);
        }
        part.upTo = upTo;
        part.items.addAll(items);
    }

    /** The last piece: returns all that came. */
    public List<Item> end(String source, long life, List<Item> items) {
        Part part = parts.remove(source);
        if (part == null || part.life != life) {
            return items;
        }
        part.items.addAll(items);
        return part.items;
    }

    /**
     * After a cut: the change from which on the rest is to be asked for; below nought where there is
     * none.
     */
    public long from(String source, long life) {
        Part part = parts.get(source);
        if (part != null && part.life == life && part.upTo >= 0) {
            return part.upTo;
        }
        parts.remove(source);
        return -1;
    }
}
