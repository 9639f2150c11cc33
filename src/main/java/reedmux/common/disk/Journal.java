package reedmux.common.disk;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A write-ahead log stored in the files of one directory. Each file is a generation: it begins with a complete
 * snapshot of the state, followed by appended records. The owner starts a new generation from time to time to keep the
 * files small (compaction).
 *
 * <table>
 *   <caption>A file {@code items-<generation>}, from its start to its end; numbers are big-endian</caption>
 *   <tr><th>part</th><th>bytes</th><th>content</th></tr>
 *   <tr><td>version</td><td>one record</td><td>{@code reedmux} in ASCII and one byte, the version of the layout; a
 *       file without this record is read as well</td></tr>
 *   <tr><td>state</td><td>any number of records</td><td>the snapshot from which the owner starts</td></tr>
 *   <tr><td>end of the state</td><td>one record</td><td>empty; a file without it is not a complete generation</td></tr>
 *   <tr><td>appended</td><td>any number of records</td><td>the changes since the snapshot</td></tr>
 * </table>
 *
 * <table>
 *   <caption>A record</caption>
 *   <tr><th>part</th><th>bytes</th><th>content</th></tr>
 *   <tr><td>length</td><td>4</td><td>of the payload; 0 only for the end of the state</td></tr>
 *   <tr><td>checksum</td><td>4</td><td>the complement of the CRC32C of the length's low byte and the payload</td></tr>
 *   <tr><td>payload</td><td>length</td><td>defined by the owner</td></tr>
 * </table>
 *
 * <p><b>A new generation</b> is written to {@code fresh}, synced, and renamed to {@code items-<generation>}. The
 * directory is synced and the file is read back. Only then does the generation become the current one, and all older
 * generations except its predecessor are deleted. The predecessor is read if the newest generation is damaged.
 *
 * <p><b>Durability.</b> When {@link #startGeneration} returns, its state survives a power loss; an appended record
 * survives one once {@link #sync} has returned. Each unsynced record may independently be missing, torn or complete.
 * After a failed sync, or a failure of {@link #startGeneration} from the rename on, appends are rejected
 * ({@link #isBroken}) until a new generation has been started, because recovery might not read them.
 *
 * <p><b>Recovery</b> reads the generations from the newest backwards until it finds one with a complete state, and
 * returns their records, oldest first. Unreadable parts are reported by {@link #problems()} and skipped.
 *
 * <p>Not thread-safe; all methods may block on disk I/O.
 */
public final class Journal implements AutoCloseable {
    private static final String FILE_PREFIX = "items-";
    private static final String TEMPORARY_FILE = "fresh";
    /** File names with more digits are ignored: the number may not fit into a {@code long}. */
    private static final int MAX_GENERATION_DIGITS = 18;

    private final Volume volume;
    /** The current generation, open for appending; null until the first one has been started. */
    private Volume.WritableFile file;
    /** Null until the directory has been listed successfully. */
    private TreeMap<Long, String> filesByGeneration;

    private long generation;
    private long lengthBytes;
    private boolean broken = true;
    private boolean foundFiles;
    private boolean mayHaveLostRecords;
    /** Why writing is refused, if a file of a later version was found; otherwise null. */
    private String unsupportedVersion;

    private final List<String> problems = new ArrayList<>();
    private final List<String> recordLocations = new ArrayList<>();

    /** Creates a journal on a volume without accessing the volume. */
    public Journal(Volume volume) {
        this.volume = volume;
    }

    // ---- Recovery ----------------------------------------------------------------------------------

    /**
     * Returns all readable records, oldest first; an empty list if there are no files. Must be called once, before
     * anything is written. I/O errors are not thrown but reported by {@link #problems()}.
     */
    public List<byte[]> recover() {
        List<byte[]> records = new ArrayList<>();
        try {
            listGenerations();
        } catch (IOException e) {
            problems.add("the directory cannot be read: " + e.getMessage());
            foundFiles = true;
            mayHaveLostRecords = true;
            return records;
        }
        for (String name : filesByGeneration.descendingMap().values()) {
            foundFiles = true;
            if (recoverGeneration(name, records)) {
                break;
            }
            mayHaveLostRecords = true; // records appended to this generation may be in no earlier one
        }
        return records;
    }

    /** Inserts the records of a file before those of newer files; returns whether its state is complete. */
    private boolean recoverGeneration(String name, List<byte[]> records) {
        GenerationReader reader;
        try {
            reader = new GenerationReader(name, volume.read(name));
        } catch (IOException e) {
            problems.add(name + " cannot be read: " + e.getMessage());
            return false;
        }
        problems.addAll(reader.problems());
        if (reader.unsupportedVersion() != null) {
            unsupportedVersion = reader.unsupportedVersion();
        }
        records.addAll(0, reader.records());
        recordLocations.addAll(0, reader.locations());
        return reader.isStateComplete();
    }

    private void listGenerations() throws IOException {
        if (filesByGeneration != null) {
            return;
        }
        TreeMap<Long, String> files = new TreeMap<>();
        for (String name : volume.fileNames()) {
            if (isGeneration(name)) {
                files.put(Long.parseLong(name.substring(FILE_PREFIX.length())), name);
            }
        }
        generation = files.isEmpty() ? 0 : files.lastKey();
        filesByGeneration = files;
    }

    private static boolean isGeneration(String name) {
        int digits = name.length() - FILE_PREFIX.length();
        if (!name.startsWith(FILE_PREFIX) || digits == 0 || digits > MAX_GENERATION_DIGITS) {
            return false;
        }
        for (int i = FILE_PREFIX.length(); i < name.length(); i++) {
            if (name.charAt(i) < '0' || name.charAt(i) > '9') {
                return false;
            }
        }
        return true;
    }

    /** Whether {@link #recover()} found any generation file, or could not list the directory. */
    public boolean foundFiles() {
        return foundFiles;
    }

    /** Whether durable records may be missing from the result of {@link #recover()}. */
    public boolean mayHaveLostRecords() {
        return mayHaveLostRecords;
    }

    /** Descriptions of what {@link #recover()} could not read, each with the file name and offset where known. */
    public List<String> problems() {
        return problems;
    }

    /** The file name and offset of a recovered record, by its index in the result of {@link #recover()}. */
    public String recordLocation(int record) {
        return recordLocations.get(record);
    }

    // ---- Writing -----------------------------------------------------------------------------------

    /**
     * Starts a new generation. When this method returns, the state is durable and replaces all earlier records.
     *
     * @param state the records of the state, in order
     * @throws IOException if the generation cannot be written, or if a later version of the program has written to this
     *     directory; the previous generation still exists and accepts further records unless the journal
     *     {@link #isBroken}
     */
    public void startGeneration(Iterable<byte[]> state) throws IOException {
        listGenerations();
        if (unsupportedVersion != null) {
            throw new IOException(unsupportedVersion);
        }
        problems.clear();
        recordLocations.clear();
        long next = generation + 1;
        String name = FILE_PREFIX + next;
        volume.delete(TEMPORARY_FILE); // a crash may have left it, possibly as a second name of a generation
        Volume.WritableFile created = volume.create(TEMPORARY_FILE);
        long bytes;
        boolean readable = false;
        try {
            bytes = writeState(created, state);
            created.sync();
            // From here on recovery may find this generation, so nothing may be appended to the previous one.
            broken = true;
            generation = next;
            filesByGeneration.put(next, name);
            volume.rename(TEMPORARY_FILE, name);
            volume.syncDirectory();
            if (!new GenerationReader(name, volume.read(name)).isStateComplete()) {
                throw new IOException("the state in " + name + " is incomplete when read back");
            }
            readable = true;
        } finally {
            if (!readable) {
                created.close();
            }
        }
        if (file != null) {
            file.close();
        }
        file = created;
        lengthBytes = bytes;
        broken = false;
        deleteBefore(next - 1);
    }

    private static long writeState(Volume.WritableFile target, Iterable<byte[]> state) throws IOException {
        long bytes = write(target, JournalFormat.versionRecord());
        for (byte[] record : state) {
            bytes += write(target, record);
        }
        return bytes + write(target, JournalFormat.endOfState());
    }

    private static int write(Volume.WritableFile target, byte[] record) throws IOException {
        target.write(JournalFormat.encode(record));
        return JournalFormat.RECORD_HEADER_BYTES + record.length;
    }

    private void deleteBefore(long oldestKept) throws IOException {
        while (filesByGeneration.firstKey() < oldestKept) {
            Map.Entry<Long, String> oldest = filesByGeneration.pollFirstEntry();
            volume.delete(oldest.getValue());
        }
    }

    /**
     * Appends a record to the current generation. The record is durable once {@link #sync()} has returned.
     *
     * @throws IOException if the write fails, the journal {@link #isBroken}, or the record is empty or too large; a
     *     partially written record never precedes a later record
     */
    public void append(byte[] record) throws IOException {
        if (broken) {
            throw new IOException("the journal is broken by an earlier failure");
        } else if (record.length == 0 || record.length > JournalFormat.MAX_RECORD_BYTES) {
            throw new IOException("a record of " + record.length + " bytes cannot be appended");
        }
        boolean written = false;
        try {
            lengthBytes += write(file, record);
            written = true;
        } finally {
            if (!written) {
                truncateFailedWrite();
            }
        }
    }

    /** Removes what a failed write has left, so that it does not precede later records. */
    private void truncateFailedWrite() {
        try {
            file.truncate(lengthBytes);
        } catch (IOException e) {
            broken = true;
        }
    }

    /**
     * Makes all appended records durable.
     *
     * @throws IOException if the sync fails; records appended since the last successful sync may be lost
     */
    public void sync() throws IOException {
        boolean synced = false;
        try {
            file.sync();
            synced = true;
        } finally {
            broken |= !synced; // the kernel may have discarded dirty pages that it could not write
        }
    }

    /** Whether appends are rejected until a new generation has been started. */
    public boolean isBroken() {
        return broken;
    }

    /** The size of the current generation in bytes; 0 until the first one has been started. */
    public long lengthBytes() {
        return lengthBytes;
    }

    @Override
    public void close() throws IOException {
        if (file != null) {
            file.close();
        }
    }
}
