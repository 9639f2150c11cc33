package reedmux.gatekeeper.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Tags a datagram with the service that it belongs to. A tagged datagram consists of a checksum of two bytes, a hash of
 * the service's name of four bytes, and the policy's datagram. The policy's datagram begins with the low half of the
 * CRC-32 of its remaining bytes; the checksum of a tagged datagram is that half with some bits inverted, so no datagram
 * is valid both with and without a tag. Versions of the gatekeeper that support only one service drop tagged datagrams,
 * and a datagram without a tag belongs to the default service.
 */
public final class ServiceTag {
    /** Returned for a datagram without a tag, which belongs to the default service. */
    public static final int NONE = 0;
    /** The size of a tag including its checksum. */
    public static final int LENGTH_BYTES = Short.BYTES + Integer.BYTES;

    /** The inverted bits, which distinguish the checksum of a tagged datagram from that of a policy's datagram. */
    private static final int CHECKSUM_MASK = 0xA5C3;

    private ServiceTag() {}

    /** Returns the tag of a service, which is the same on all gatekeepers and never {@link #NONE}. */
    public static int of(String name) {
        int hash = MurmurHash3.hash32x86(name.getBytes(StandardCharsets.UTF_8));
        return hash == NONE ? 1 : hash;
    }

    /** Returns the tag of a datagram, or {@link #NONE} if it has no valid tag. */
    public static int read(byte[] datagram) {
        if (datagram.length < LENGTH_BYTES) {
            return NONE;
        }
        ByteBuffer bytes = ByteBuffer.wrap(datagram);
        return bytes.getShort() == checksum(datagram) ? bytes.getInt() : NONE;
    }

    /** Returns the policy's datagram with a tag prepended. */
    public static byte[] addTag(int tag, byte[] untagged) {
        byte[] tagged = ByteBuffer.allocate(LENGTH_BYTES + untagged.length)
                .putShort((short) 0)
                .putInt(tag)
                .put(untagged)
                .array();
        return ByteBuffer.wrap(tagged).putShort(checksum(tagged)).array();
    }

    /** Returns the policy's datagram that a tagged datagram contains. */
    static byte[] removeTag(byte[] datagram) {
        byte[] untagged = new byte[datagram.length - LENGTH_BYTES];
        System.arraycopy(datagram, LENGTH_BYTES, untagged, 0, untagged.length);
        return untagged;
    }

    private static short checksum(byte[] bytes) {
        CRC32 crc = new CRC32();
        crc.update(bytes, Short.BYTES, bytes.length - Short.BYTES);
        return (short) (crc.getValue() ^ CHECKSUM_MASK);
    }
}
