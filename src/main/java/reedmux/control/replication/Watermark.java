package reedmux.control.replication;

import reedmux.control.configuration.ConfigurationItem;

/**
 * A record that a revision of an item was committed and has been overtaken since: of its body a digest is left. With it
 * a store tells an operator's repetition of a change (the same digest) from a revision that is used for another body.
 *
 * @param key of the item
 * @param digest of the body; or {@link #LOW_WATERMARK}, which says that nothing is known any more of this revision and
 *     all below
 */
public record Watermark(String key, long revision, long digest) {
    /** In place of a digest. */
    public static final long LOW_WATERMARK = 0;

    private static final long FNV_OFFSET_BASIS = 0xCBF29CE484222325L;
    private static final long FNV_PRIME = 0x100000001B3L;

    // Written out: what a record generates is linked at run time, in the middle of a start.
    @Override
    public boolean equals(Object other) {
        return other instanceof Watermark watermark
                && revision == watermark.revision
                && digest == watermark.digest
                && key.equals(watermark.key);
    }

    @Override
    public int hashCode() {
        return 31 * key.hashCode() + Long.hashCode(revision);
    }

    /** The watermark of an item. Its digest is on disks and in messages, so that it may never change. */
    public static Watermark of(ConfigurationItem item) {
        long digest = FNV_OFFSET_BASIS;
        String body = item.body();
        for (int i = 0; i < body.length(); i++) {
            digest = (digest ^ body.charAt(i)) * FNV_PRIME;
            digest ^= digest >>> 29;
        }
        return new Watermark(item.key(), item.revision(), digest == LOW_WATERMARK ? 1 : digest);
    }
}
