package reedmux.gatekeeper.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Marks a datagram as that of one pool: two bytes of check, four that stand for the pool's name, then the
 * module's own bytes. A module's datagram begins with the low half of the CRC-32 of the rest; the check here
 * is that half with some bits turned. So no datagram is ever valid as both: a gatekeeper of a version before
 * pools drops what is marked, and what is not marked belongs to the default pool.
 */
public final class PoolTag {
    /** No mark: the default pool's. */
    public static final int NONE = 0;
    /** Bytes that a mark takes. */
    public static final int LENGTH_BYTES = Short.BYTES + Integer.BYTES;

    private static final int CHECKSUM_MASK = 0xA5C3;

    private PoolTag() {}

    /** The mark of a pool, the same at all gatekeepers; never {@link #NONE}. */
    public static int of(String name) {
        int hash = MurmurHash3.hash32x86(name.getBytes(StandardCharsets.UTF_8));
        return hash == NONE ? 1 : hash;
    }

    /** The mark that a datagram bears, or {@link #NONE}. */
    public static int of(byte[] datagram) {
        if (datagram.length < LENGTH_BYTES) {
            return NONE;
        }
        ByteBuffer bytes = ByteBuffer.wrap(datagram);
        return bytes.getShort() == checksum(datagram) ? bytes.getInt() : NONE;
    }

    /** The datagram with a mark. */
    public static byte[] tagged(int tag, byte[] own) {
        byte[] all = ByteBuffer.allocate(LENGTH_BYTES + own.length)
                .putShort((short) 0)
                .putInt(tag)
                .put(own)
                .array();
        return ByteBuffer.wrap(all).putShort(checksum(all)).array();
    }

    /** The module's own bytes of a datagram with a mark. */
    static byte[] untagged(byte[] datagram) {
        byte[] own = new byte[datagram.length - LENGTH_BYTES];
        System.arraycopy(datagram, LENGTH_BYTES, own, 0, own.length);
        return own;
    }

    private static short checksum(byte[] bytes) {
        CRC32 sum = new CRC32();
        sum.update(bytes, Short.BYTES, bytes.length - Short.BYTES);
        return (short) (sum.getValue() ^ CHECKSUM_MASK);
    }
}
