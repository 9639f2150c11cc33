package reedmux.control.replication;

import reedmux.control.configuration.ConfigurationItem;

/**
 * Records that a revision of an item has been committed and superseded. Only a digest of the revision's body is
 * retained. It lets a store distinguish an operator's retry of a change, which has the same digest, from the reuse of
 * the revision for another body.
 *
 * @param key the key of the item
 * @param digest the digest of the body, or {@link #LOW_WATERMARK} if the digests of this revision and all earlier ones
 *     have been discarded
 */
public record Watermark(String key, long revision, long digest) {
    /** Takes the place of the digest in a low watermark. */
    public static final long LOW_WATERMARK = 0;

    private static final long FNV_OFFSET_BASIS = 0xCBF29CE484222325L;
    private static final long FNV_PRIME = 0x100000001B3L;

    // Implemented explicitly because the methods generated for a record are linked at run time, which delays startup.
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

    /**
     * Returns the watermark of an item. Its digest is stored on disk and sent in messages, so the way in which it is
     * computed must never change.
     */
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
