package reedmux.control.configuration;

/**
 * One named part of the configuration at one revision, or a tombstone for it. Items are replicated individually. Of two
 * items with the same key, the one with the higher revision wins; if the revisions are equal, too, the one with the
 * greater body wins. Replicas therefore converge regardless of the order in which they receive items.
 *
 * @param kind {@code routes}, {@code plants} (services), {@code tenants} or {@code saturation} (request limits)
 * @param name unique within the kind; empty for {@code saturation}
 * @param revision the revision that the operator assigned, at least 0
 * @param body the JSON that the operator sent; empty if the item is deleted
 */
public record ConfigurationItem(String kind, String name, long revision, String body)
        implements Comparable<ConfigurationItem> {

    /** Creates the tombstone of a deleted item. */
    public static ConfigurationItem deleted(String kind, String name, long revision) {
        return new ConfigurationItem(kind, name, revision, "");
    }

    // Written by hand: the methods that records generate are linked on first use, which would slow down startup.
    @Override
    public boolean equals(Object other) {
        return other instanceof ConfigurationItem item
                && revision == item.revision
                && key().equals(item.key())
                && body.equals(item.body);
    }

    @Override
    public int hashCode() {
        return 31 * key().hashCode() + Long.hashCode(revision);
    }

    /** Returns whether this is the tombstone of a deleted item. */
    public boolean isDeleted() {
        return body.isEmpty();
    }

    /** Returns the key that identifies the item among the items of all kinds. */
    public String key() {
        return kind + '/' + name;
    }

    /** Orders items with the same key: the greater one wins. */
    @Override
    public int compareTo(ConfigurationItem other) {
        return revision != other.revision ? Long.compare(revision, other.revision) : body.compareTo(other.body);
    }

    /**
     * Returns whether a change by an operator to this item replaces the current item with the same key, passed as
     * {@code other}; null if there is none.
     */
    public boolean supersedes(ConfigurationItem other) {
        return other == null || revision > other.revision;
    }
}
