package reedmux.common.disk;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;

/** Encodes records of a {@link Journal}'s files; the layout is documented there. */
final class JournalFormat {
    /** The layout version that this program writes. Files with a higher version are not modified. */
    static final int VERSION = 1;

    /** The size of the header of each record: length and checksum, 4 bytes each. */
    static final int RECORD_HEADER_BYTES = 8;

    /** The largest payload of an appended record, in bytes. */
    static final int MAX_RECORD_BYTES = 64 * 1024 * 1024;

    private static final byte[] MAGIC = {'r', 'e', 'e', 'd', 'm', 'u', 'x'};
    private static final byte[] END_OF_STATE = {};

    private JournalFormat() {}

    /** The first record of a file, which holds the layout version. */
    static byte[] versionRecord() {
        byte[] record = Arrays.copyOf(MAGIC, MAGIC.length + 1);
        record[MAGIC.length] = VERSION;
        return record;
    }

    static boolean isVersionRecord(byte[] record) {
        return record.length == MAGIC.length + 1 && Arrays.mismatch(record, MAGIC) == MAGIC.length;
    }

    static int versionOf(byte[] versionRecord) {
        return versionRecord[MAGIC.length];
    }

    /** The empty record that ends the initial state of a file. */
    static byte[] endOfState() {
        return END_OF_STATE;
    }

    /** Returns a record with its header, ready to be written. */
    static ByteBuffer encode(byte[] record) {
        return ByteBuffer.allocate(RECORD_HEADER_BYTES + record.length)
                .putInt(record.length)
                .putInt(checksum(record))
                .put(record)
                .flip();
    }

    /**
     * Computes the checksum of a record. It also covers the low byte of the length and is complemented, so that zeros,
     * which a file may contain where a write was lost in a crash, are not a valid record.
     */
    static int checksum(byte[] record) {
        CRC32C checksum = new CRC32C();
        checksum.update(record.length);
        checksum.update(record, 0, record.length);
        return ~(int) checksum.getValue();
    }
}
