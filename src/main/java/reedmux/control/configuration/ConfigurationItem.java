package reedmux.control.configuration;

/**
 * One named part of the configuration, or the mark that it was dropped. For one name the highest revision
 * holds, and of two with the same revision the one that comes last by {@link #compareTo}.
 *
 * @param kind {@code routes}, {@code plants}, {@code tenants} or {@code saturation}
 * @param body what the operator sent, as JSON; empty where it was dropped
 */
public record ConfigurationItem(String kind, String name, long revision, String body)
        implements Comparable<ConfigurationItem> {

    // Written out, as what a record brings is linked at run time, in the middle of a start.
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

    public boolean isDeleted() {
        return body.isEmpty();
    }

    public String key() {
        return kind + '/' + name;
    }

    /** Which of two of one name holds. */
    @Override
    public int compareTo(ConfigurationItem other) {
        return revision != other.revision ? Long.compare(revision, other.revision) : body.compareTo(other.body);
    }

    /** Whether this one would take the place of another of its name, or of none. */
    public boolean supersedes(ConfigurationItem other) {
        return other == null || revision > other.revision;
    }
}
