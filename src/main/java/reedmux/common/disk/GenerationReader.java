package reedmux.common.disk;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads one file of a {@link Journal}. Unsynced writes survive a crash one by one, so that a valid record may stand
 * behind a damaged one: a record with a wrong checksum is skipped, and reading goes on as long as the lengths make
 * sense.
 */
final class GenerationReader {
    private final String file;
    private final ByteBuffer input;
    private final List<byte[]> records = new ArrayList<>();
    private final List<String> locations = new ArrayList<>();
    private final List<String> problems = new ArrayList<>();
    private boolean stateComplete;
    /** Whether no record had a wrong checksum so far. */
    private boolean intact = true;

    private String unsupportedVersion;

    GenerationReader(String file, byte[] bytes) {
        this.file = file;
        input = ByteBuffer.wrap(bytes);
        readAll();
    }

    /** The records of the state and those behind it, without the version and the end of the state. */
    List<byte[]> records() {
        return records;
    }

    /** The file and offset of each record. */
    List<String> locations() {
        return locations;
    }

    /** What could not be read, each with the file and offset. */
    List<String> problems() {
        return problems;
    }

    /** Whether the whole state that the file begins with could be read. */
    boolean isStateComplete() {
        return stateComplete;
    }

    /** Why nothing may be written beside this file, which a later version has written; null for one that is known. */
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
            addProblem(0, "the state it begins with is not whole");
        } else if (input.hasRemaining()) {
            addProblem(input.position(), "a record is cut");
        }
    }

    private void readRecord() {
        int offset = input.position();
        int length = input.getInt();
        int checksum = input.getInt();
        if (length < 0 || length > input.remaining()) {
            addProblem(offset, "a record of " + length + " bytes where " + input.remaining() + " are left");
            skipRest();
            return;
        }
        byte[] record = new byte[length];
        input.get(record);
        if (JournalFormat.checksum(record) != checksum) {
            addProblem(offset, "the checksum of a record of " + length + " bytes is wrong");
            intact = false;
            if (length == 0) {
                skipRest(); // most likely zeros to the end, of which each eight bytes look like a record
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
            unsupportedVersion = file + " is of form " + version + ", and this program knows forms up to "
                    + JournalFormat.VERSION + ": nothing is written here";
        }
    }

    private void skipRest() {
        input.position(input.limit());
    }

    private void addProblem(int offset, String description) {
        problems.add(file + " at " + offset + ": " + description);
    }
}
