package reedmux.common.disk;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;

/** The bytes of a {@link Journal}'s files; the class comment there has the layout. */
final class JournalFormat {
    /** The version of the layout that is written here. Files of a higher one are left as they are. */
    static final int VERSION = 1;

    /** Length and checksum, in front of each record. */
    static final int RECORD_HEADER_BYTES = 8;

    /** The largest record that may be appended. */
    static final int MAX_RECORD_BYTES = 64 * 1024 * 1024;

    private static final byte[] MAGIC = {'r', 'e', 'e', 'd', 'm', 'u', 'x'};
    private static final byte[] END_OF_STATE = {};

    private JournalFormat() {}

    /** The first record of a file. */
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

    /** The record behind the state that a file begins with. */
    static byte[] endOfState() {
        return END_OF_STATE;
    }

    /** A record with its header, ready to be written. */
    static ByteBuffer encode(byte[] record) {
        return ByteBuffer.allocate(RECORD_HEADER_BYTES + record.length)
                .putInt(record.length)
                .putInt(checksum(record))
                .put(record)
                .flip();
    }

    /**
     * The checksum of a record. It covers the low byte of the length, too, and is complemented: zeros, which a file may
     * have where a write was lost in a crash, are no valid record.
     */
    static int checksum(byte[] record) {
        CRC32C checksum = new CRC32C();
        checksum.update(record.length);
        checksum.update(record, 0, record.length);
        return ~(int) checksum.getValue();
    }
}
