package reedmux.gatekeeper.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Tags a datagram as that of one service: a checksum of two bytes, a hash of the service's name of four, then the
 * policy's own bytes. A policy's datagram begins with the low half of the CRC-32 of the rest; the checksum here is that
 * half with some bits flipped. So no datagram is ever valid as both: a gatekeeper of a version before there were
 * several services drops what is tagged, and what is not tagged belongs to the default service.
 */
public final class ServiceTag {
    /** No tag: the default service's. */
    public static final int NONE = 0;
    /** Bytes that a tag takes, with its checksum. */
    public static final int LENGTH_BYTES = Short.BYTES + Integer.BYTES;

    /** The bits that are flipped, which tell a tagged datagram's checksum from a policy's. */
    private static final int CHECKSUM_MASK = 0xA5C3;

    private ServiceTag() {}

    /** The tag of a service, the same at all gatekeepers; never {@link #NONE}. */
    public static int of(String name) {
        int hash = MurmurHash3.hash32x86(name.getBytes(StandardCharsets.UTF_8));
        return hash == NONE ? 1 : hash;
    }

    /** The tag of a datagram, or {@link #NONE}. */
    public static int read(byte[] datagram) {
        if (datagram.length < LENGTH_BYTES) {
            return NONE;
        }
        ByteBuffer bytes = ByteBuffer.wrap(datagram);
        return bytes.getShort() == checksum(datagram) ? bytes.getInt() : NONE;
    }

    /** The policy's datagram with a tag. */
    public static byte[] addTag(int tag, byte[] untagged) {
        byte[] all = ByteBuffer.allocate(LENGTH_BYTES + untagged.length)
                .putShort((short) 0)
                .putInt(tag)
                .put(untagged)
                .array();
        return ByteBuffer.wrap(all).putShort(checksum(all)).array();
    }

    /** The policy's own bytes of a datagram with a tag. */
    static byte[] removeTag(byte[] datagram) {
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
