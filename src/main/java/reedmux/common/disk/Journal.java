package reedmux.common.disk;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A write-ahead log in the files of one folder. Each file is a generation: it begins with a complete state, behind
 * which records are appended. The owner starts a new generation from time to time, so that the files stay small
 * (compaction).
 *
 * <table>
 *   <caption>A file {@code items-<generation>}, in the order of its bytes; numbers are big-endian</caption>
 *   <tr><th>part</th><th>bytes</th><th>content</th></tr>
 *   <tr><td>version</td><td>one record</td><td>{@code reedmux} in ASCII and one byte, the version of the layout; a
 *       file without it is read all the same</td></tr>
 *   <tr><td>state</td><td>any number of records</td><td>what the owner needs to start from</td></tr>
 *   <tr><td>end of the state</td><td>one record</td><td>empty; a file without it is not a generation</td></tr>
 *   <tr><td>appended</td><td>any number of records</td><td>what has changed since</td></tr>
 * </table>
 *
 * <table>
 *   <caption>A record</caption>
 *   <tr><th>part</th><th>bytes</th><th>content</th></tr>
 *   <tr><td>length</td><td>4</td><td>of the payload; 0 for the end of the state alone</td></tr>
 *   <tr><td>checksum</td><td>4</td><td>the complement of the CRC32C of the length's low byte and the payload</td></tr>
 *   <tr><td>payload</td><td>length</td><td>the owner's</td></tr>
 * </table>
 *
 * <p><b>A new generation</b> is written to {@code fresh}, which is synced, renamed to {@code items-<generation>}, and
 * read back after the folder was synced, too. Only then does it count, and all generations but it and the one before it
 * are deleted: that one is read where the newest turns out to be damaged.
 *
 * <p><b>Durability.</b> When {@link #startGeneration} returns, its state survives a loss of power; an appended record
 * does once {@link #sync} has returned. Unsynced records may be missing, torn or complete, each by itself. After a
 * failed sync, or a generation that has failed from its rename on, nothing is appended any more ({@link #isBroken}), as
 * it could stand where a start does not read it, until a new generation was started.
 *
 * <p><b>Recovery</b> reads generations from the newest on until one has its whole state, and returns their records the
 * oldest first. Whatever can't be read is told by {@link #problems()} and otherwise skipped.
 *
 * <p>Not thread-safe; all methods may wait for the disk.
 */
public final class Journal implements AutoCloseable {
    private static final String FILE_PREFIX = "items-";
    private static final String TEMPORARY_FILE = "fresh";
    /** A longer number is no generation's: it may not fit a {@code long}. */
    private static final int MAX_GENERATION_DIGITS = 18;

    private final Volume volume;
    /** The current generation, open for appending; null before the first was started. */
    private Volume.WritableFile file;
    /** Null until the folder could be listed. */
    private TreeMap<Long, String> filesByGeneration;

    private long generation;
    private long lengthBytes;
    private boolean broken = true;
    private boolean foundFiles;
    private boolean mayHaveLostRecords;
    /** Why nothing may be written, where a file of a later version was found; else null. */
    private String unsupportedVersion;

    private final List<String> problems = new ArrayList<>();
    private final List<String> recordLocations = new ArrayList<>();

    /** A journal in a folder, which is touched only by the methods below. */
    public Journal(Volume volume) {
        this.volume = volume;
    }

    // ---- Recovery ----------------------------------------------------------------------------------

    /**
     * Reads all records that can be read, the oldest first; none where there is no file. To be called once, before
     * anything is written. Doesn't fail: {@link #problems()} tells what could not be read.
     */
    public List<byte[]> recover() {
        List<byte[]> records = new ArrayList<>();
        try {
            listGenerations();
        } catch (IOException e) {
            problems.add("the folder cannot be read: " + e.getMessage());
            foundFiles = true;
            mayHaveLostRecords = true;
            return records;
        }
        for (String name : filesByGeneration.descendingMap().values()) {
            foundFiles = true;
            if (recoverGeneration(name, records)) {
                break;
            }
            mayHaveLostRecords = true; // what was appended to this one may be in none before it
        }
        return records;
    }

    /** Puts the records of a file in front of those of newer ones; returns whether its state is complete. */
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

    /** Whether {@link #recover()} has found any generation, or could not tell. */
    public boolean foundFiles() {
        return foundFiles;
    }

    /** Whether something that was durable may be missing from what {@link #recover()} has returned. */
    public boolean mayHaveLostRecords() {
        return mayHaveLostRecords;
    }

    /** What {@link #recover()} could not read, each with its file and offset. */
    public List<String> problems() {
        return problems;
    }

    /** The file and offset of a record that {@link #recover()} has returned, by its index. */
    public String recordLocation(int record) {
        return recordLocations.get(record);
    }

    // ---- Writing -----------------------------------------------------------------------------------

    /**
     * Starts a new generation. When this returns its state is durable, and everything before it is no longer needed.
     *
     * @param state its records, in their order
     * @throws IOException if that can't be written, or if a later version has written here; the generation before it is
     *     still there, and takes further records unless the journal {@link #isBroken}
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
        volume.delete(TEMPORARY_FILE); // a crash may have left the name, perhaps of a file that has another one, too
        Volume.WritableFile created = volume.create(TEMPORARY_FILE);
        long bytes;
        try {
            bytes = writeState(created, state);
            created.sync();
            // From here on a start may find this generation, so that nothing may be appended to the one before it.
            broken = true;
            generation = next;
            filesByGeneration.put(next, name);
            volume.rename(TEMPORARY_FILE, name);
            volume.syncDirectory();
            if (!new GenerationReader(name, volume.read(name)).isStateComplete()) {
                throw new IOException("what was written to " + name + " does not read back");
            }
        } catch (IOException e) {
            created.close();
            throw e;
        }
        if (file != null) {
            file.close();
        }
        file = created;
        lengthBytes = bytes;
        broken = false;
        deleteBefore(next - 1);
    }

    private static long writeState(Volume.WritableFile to, Iterable<byte[]> state) throws IOException {
        long bytes = write(to, JournalFormat.versionRecord());
        for (byte[] record : state) {
            bytes += write(to, record);
        }
        return bytes + write(to, JournalFormat.endOfState());
    }

    private static int write(Volume.WritableFile to, byte[] record) throws IOException {
        to.write(JournalFormat.encode(record));
        return JournalFormat.RECORD_HEADER_BYTES + record.length;
    }

    private void deleteBefore(long oldestKept) throws IOException {
        while (filesByGeneration.firstKey() < oldestKept) {
            Map.Entry<Long, String> oldest = filesByGeneration.pollFirstEntry();
            volume.delete(oldest.getValue());
        }
    }

    /**
     * Appends a record to the current generation; it is durable once {@link #sync()} has returned.
     *
     * @throws IOException if the disk refuses it, the journal {@link #isBroken}, or the record is empty or too large;
     *     what it has left is never read in front of a later record
     */
    public void append(byte[] record) throws IOException {
        if (broken) {
            throw new IOException("the file is spoilt by an earlier failure");
        } else if (record.length == 0 || record.length > JournalFormat.MAX_RECORD_BYTES) {
            throw new IOException("a record of " + record.length + " bytes cannot be kept");
        }
        try {
            lengthBytes += write(file, record);
        } catch (IOException e) {
            truncateFailedWrite();
            throw e;
        }
    }

    /** What a failed write has left may not stand before later records. */
    private void truncateFailedWrite() {
        try {
            file.truncate(lengthBytes);
        } catch (IOException e) {
            broken = true;
        }
    }

    /**
     * Makes everything durable that was appended.
     *
     * @throws IOException if the disk fails; what was appended since the last sync may be lost
     */
    public void sync() throws IOException {
        try {
            file.sync();
        } catch (IOException e) {
            broken = true; // the kernel may have dropped what it could not write
            throw e;
        }
    }

    /** Whether nothing can be appended until a new generation was started. */
    public boolean isBroken() {
        return broken;
    }

    /** Bytes of the current generation; 0 before the first was started. */
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
