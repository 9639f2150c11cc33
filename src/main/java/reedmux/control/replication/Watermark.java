package reedmux.control.replication;

import reedmux.control.configuration.ConfigurationItem;

/**
 * That a revision of an item was taken, and has been overtaken since: a digest is left of its content.
 *
 * @param digest of the content, or {@link #LOW_WATERMARK}: nothing is known any more of this revision and those below
 */
public record Watermark(String key, long revision, long digest) {
    public static final long LOW_WATERMARK = 0;
    private static final long FNV_PRIME = 0x100000001B3L;

    // Written out, as what a record brings is linked at run time, in the middle of a start.
    @Override
    public boolean equals(Object other) {
        return other instanceof Watermark mark
                && revision == mark.revision
                && digest == mark.digest
                && key.equals(mark.key);
    }

    @Override
    public int hashCode() {
        return 31 * key.hashCode() + Long.hashCode(revision);
    }

    public static Watermark of(ConfigurationItem item) {
        long digest = 0xCBF29CE484222325L;
        String body = item.body();
        for (int i = 0; i < body.length(); i++) {
            digest = (digest ^ body.charAt(i)) * FNV_PRIME;
            digest ^= digest >>> 29;
        }
        return new Watermark(item.key(), item.revision(), digest == LOW_WATERMARK ? 1 : digest);
    }
}
