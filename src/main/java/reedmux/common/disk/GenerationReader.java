package reedmux.common.disk;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads one generation file of a {@link Journal}. Unsynced writes survive a crash independently of each other, so a
 * valid record may follow a damaged one. A record with a wrong checksum is therefore skipped, and reading continues as
 * long as the record lengths are plausible.
 */
final class GenerationReader {
    private final String file;
    private final ByteBuffer input;
    private final List<byte[]> records = new ArrayList<>();
    private final List<String> locations = new ArrayList<>();
    private final List<String> problems = new ArrayList<>();
    private boolean stateComplete;
    /** Whether all records read so far had a correct checksum. */
    private boolean intact = true;

    private String unsupportedVersion;

    GenerationReader(String file, byte[] bytes) {
        this.file = file;
        input = ByteBuffer.wrap(bytes);
        readAll();
    }

    /** The records of the initial state and the appended records, without the version and end-of-state records. */
    List<byte[]> records() {
        return records;
    }

    /** The file name and offset of each record, in the order of {@link #records()}. */
    List<String> locations() {
        return locations;
    }

    /** Descriptions of the unreadable parts, each with the file name and, where known, the offset. */
    List<String> problems() {
        return problems;
    }

    /** Whether the initial state of the file was read completely. */
    boolean isStateComplete() {
        return stateComplete;
    }

    /**
     * Why no further generation may be written to this directory: a later version of the program wrote this file. Null
     * if the version is supported.
     */
    String unsupportedVersion() {
        return unsupportedVersion;
    }

    private void readAll() {
        while (input.remaining() >= JournalFormat.RECORD_HEADER_BYTES) {
            readRecord();
            if (unsupportedVersion != null) {
                problems.add(unsupportedVersion);
                return;
            }
        }
        if (!stateComplete) {
            addProblem(0, "the initial state is incomplete");
        } else if (input.hasRemaining()) {
            addProblem(input.position(), "the last record is truncated");
        }
    }

    private void readRecord() {
        int offset = input.position();
        int length = input.getInt();
        int checksum = input.getInt();
        if (length < 0 || length > input.remaining()) {
            addProblem(offset, "a record of " + length + " bytes, but only " + input.remaining() + " bytes remain");
            skipRest();
            return;
        }
        byte[] record = new byte[length];
        input.get(record);
        if (JournalFormat.checksum(record) != checksum) {
            addProblem(offset, "the checksum of a record of " + length + " bytes does not match");
            intact = false;
            if (length == 0) {
                skipRest(); // probably zeros up to the end, where every eight bytes look like a record
            }
        } else if (length == 0) {
            stateComplete |= intact;
        } else if (offset == 0 && JournalFormat.isVersionRecord(record)) {
            checkVersion(JournalFormat.versionOf(record));
        } else {
            records.add(record);
            locations.add(file + " at " + offset);
        }
    }

    private void checkVersion(int version) {
        if (version > JournalFormat.VERSION) {
            unsupportedVersion = file + " is of form " + version + ", but this program supports forms up to "
                    + JournalFormat.VERSION + "; nothing is written to this directory";
        }
    }

    private void skipRest() {
        input.position(input.limit());
    }

    private void addProblem(int offset, String description) {
        problems.add(file + " at " + offset + ": " + description);
    }
}
