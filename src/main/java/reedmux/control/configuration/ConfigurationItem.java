package reedmux.control.configuration;

/**
 * One named part of the configuration at one revision, or its deletion. Items are replicated one by one: of two with
 * the same key the one with the higher revision wins, and of two with the same revision, too, the one with the greater
 * body, so that replicas end with the same items whatever the order in which these come.
 *
 * @param kind {@code routes}, {@code plants} (services), {@code tenants} or {@code saturation} (limits of requests)
 * @param name unique within the kind; empty for {@code saturation}
 * @param revision as the operator has counted; from 0
 * @param body what the operator has sent, as JSON; empty where the item is deleted
 */
public record ConfigurationItem(String kind, String name, long revision, String body)
        implements Comparable<ConfigurationItem> {

    /** The deletion of an item. */
    public static ConfigurationItem deleted(String kind, String name, long revision) {
        return new ConfigurationItem(kind, name, revision, "");
    }

    // Written out: what a record generates is linked at run time, in the middle of a start.
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

    /** Whether this is the deletion of the item. */
    public boolean isDeleted() {
        return body.isEmpty();
    }

    /** By this an item is known among all. */
    public String key() {
        return kind + '/' + name;
    }

    /** Of two items with the same key the greater one wins. */
    @Override
    public int compareTo(ConfigurationItem other) {
        return revision != other.revision ? Long.compare(revision, other.revision) : body.compareTo(other.body);
    }

    /** Whether an operator's change to this item takes the place of another one with its key; null for none. */
    public boolean supersedes(ConfigurationItem other) {
        return other == null || revision > other.revision;
    }
}
