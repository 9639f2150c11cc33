package reedmux.common.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import java.util.zip.CRC32C;

/**
 * Records in a file, each with its length and a checksum. A generation of the file begins with its form, a
 * whole state and an empty record, written, synced and renamed before it counts; the one before is kept until
 * there is a third. What was synced is found again, whatever became of later writes. For one thread, which
 * waits for the disk.
 */
public final class Journal implements AutoCloseable {
    /** The form of the files; what has a higher one is of a later program, and is left as it is. */
    static final int FORMAT_VERSION = 1;

    private static final byte[] MAGIC = {'r', 'e', 'e', 'd', 'm', 'u', 'x'};
    private static final String FILE_PREFIX = "items-";
    private static final String TEMPORARY_FILE = "fresh";
    private static final int MAX_GENERATION_DIGITS = 18;
    private static final int RECORD_HEADER_BYTES = 8;
    private static final int MAX_RECORD_BYTES = 64 * 1024 * 1024;
    private final Volume volume;
    private Volume.WritableFile file;
    /** Files that are there, by their generation; null until the folder could be read. */
    private TreeMap<Long, String> filesByGeneration;

    private long generation;
    private long lengthBytes;
    private boolean broken = true;
    private boolean foundFiles;
    private boolean mayHaveLostRecords;
    private String unsupportedFormat;
    private final List<String> problems = new ArrayList<>();
    private final List<String> recordLocations = new ArrayList<>();

    public Journal(Volume volume) {
        this.volume = volume;
    }

    private void listGenerations() throws IOException {
        if (filesByGeneration == null) {
            TreeMap<Long, String> all = new TreeMap<>();
            for (String name : volume.fileNames()) {
                String number = name.startsWith(FILE_PREFIX) ? name.substring(FILE_PREFIX.length()) : "";
                if (number.chars().allMatch(c -> c >= '0' && c <= '9')
                        && !number.isEmpty()
                        && number.length() <= MAX_GENERATION_DIGITS) {
                    all.put(Long.parseLong(number), name);
                }
            }
            generation = all.isEmpty() ? 0 : all.lastKey();
            filesByGeneration = all;
        }
    }

    /**
     * All records that can be read, the oldest first; none where there is no file. What cannot be read is
     * told by {@link #problems()}.
     */
    public List<byte[]> recover() {
        try {
            listGenerations();
        } catch (IOException e) {
            problems.add("the folder cannot be read: " + e.getMessage());
            foundFiles = true;
            mayHaveLostRecords = true;
            return List.of();
        }
        List<byte[]> all = new ArrayList<>();
        for (String name : filesByGeneration.descendingMap().values()) {
            foundFiles = true;
            try {
                if (readGeneration(name, volume.read(name), all)) {
                    return all;
                }
            } catch (IOException e) {
                problems.add(name + " cannot be read: " + e.getMessage());
            }
            mayHaveLostRecords = true; // what was added to this one may be in none before it
        }
        return all;
    }

    /** Whether {@link #recover()} has found anything of ours. */
    public boolean foundFiles() {
        return foundFiles;
    }

    /** Whether something that was safe may be missing from what {@link #recover()} has found. */
    public boolean mayHaveLostRecords() {
        return mayHaveLostRecords;
    }

    /** What could not be read, each with its file and offset. */
    public List<String> problems() {
        return problems;
    }

    /** The file and offset of a record that {@link #recover()} has returned. */
    public String recordLocation(int record) {
        return recordLocations.get(record);
    }

    /**
     * Puts the records of one file without its form and the empty one before those that newer ones had, and
     * returns whether the whole state at its beginning is there.
     */
    private boolean readGeneration(String name, byte[] bytes, List<byte[]> into) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        List<byte[]> records = new ArrayList<>();
        List<String> at = new ArrayList<>();
        boolean whole = false;
        boolean intact = true;
        while (in.remaining() >= RECORD_HEADER_BYTES) {
            int start = in.position();
            int size = in.getInt();
            int sum = in.getInt();
            if (size < 0 || size > in.remaining()) {
                addProblem(name, start, "a record of " + size + " bytes where " + in.remaining() + " are left");
                in.position(in.limit());
                break;
            }
            byte[] record = new byte[size];
            in.get(record);
            if (checksum(record) != sum) { // one behind it may be whole, as writes survive one by one
                addProblem(name, start, "the checksum of a record of " + size + " bytes is wrong");
                intact = false;
                if (size == 0) {
                    in.position(in.limit());
                }
            } else if (size == 0) {
                whole = whole || intact;
            } else if (start == 0 && isFormatRecord(record)) {
                if (record[MAGIC.length] > FORMAT_VERSION) {
                    unsupportedFormat =
                            name + " is of form " + record[MAGIC.length] + ", and this program knows forms up" + " to "
                                    + FORMAT_VERSION + ": nothing is written here";
                    problems.add(unsupportedFormat);
                    return false;
                }
            } else {
                records.add(record);
                at.add(name + " at " + start);
            }
        }
        if (!whole) {
            addProblem(name, 0, "the state it begins with is not whole");
        } else if (in.hasRemaining()) {
            addProblem(name, in.position(), "a record is cut");
        }
        into.addAll(0, records);
        recordLocations.addAll(0, at);
        return whole;
    }

    private void addProblem(String name, int at, String what) {
        problems.add(name + " at " + at + ": " + what);
    }

    private static boolean isFormatRecord(byte[] record) {
        return record.length == MAGIC.length + 1 && Arrays.mismatch(record, MAGIC) == MAGIC.length;
    }

    private static byte[] formatRecord() {
        byte[] record = Arrays.copyOf(MAGIC, MAGIC.length + 1);
        record[MAGIC.length] = FORMAT_VERSION;
        return record;
    }

    private static int checksum(byte[] record) {
        CRC32C sum = new CRC32C();
        sum.update(record.length);
        sum.update(record, 0, record.length);
        return ~(int) sum.getValue();
    }

    private static int writeRecord(Volume.WritableFile to, byte[] record) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate(RECORD_HEADER_BYTES + record.length);
        bytes.putInt(record.length).putInt(checksum(record)).put(record).flip();
        to.write(bytes);
        return RECORD_HEADER_BYTES + record.length;
    }

    /** Begins a new generation with a whole state; when it returns that is safe. */
    public void startGeneration(Iterable<byte[]> state) throws IOException {
        listGenerations();
        if (unsupportedFormat != null) {
            throw new IOException(unsupportedFormat);
        }
        problems.clear();
        recordLocations.clear();
        long next = generation + 1;
        String named = FILE_PREFIX + next;
        volume.delete(TEMPORARY_FILE); // a name that a crash has left, perhaps of a file that has another one, too
        Volume.WritableFile made = volume.create(TEMPORARY_FILE);
        long size = 0;
        try {
            size += writeRecord(made, formatRecord());
            for (byte[] record : state) {
                size += writeRecord(made, record);
            }
            size += writeRecord(made, new byte[0]);
            made.sync();
            // From here on a start may find this generation, so that none before it can be added to.
            broken = true;
            generation = next;
            filesByGeneration.put(next, named);
            volume.rename(TEMPORARY_FILE, named);
            volume.syncDirectory();
            if (!readGeneration(named, volume.read(named), new ArrayList<>())) {
                throw new IOException("what was written to " + named + " does not read back");
            }
        } catch (IOException e) {
            made.close();
            throw e;
        }
        if (file != null) {
            file.close();
        }
        file = made;
        lengthBytes = size;
        broken = false;
        while (filesByGeneration.firstKey() < next - 1) {
            volume.delete(filesByGeneration.pollFirstEntry().getValue());
        }
    }

    /** Appends a record; it is safe once {@link #sync()} has returned. */
    public void append(byte[] record) throws IOException {
        if (broken) {
            throw new IOException("the file is spoilt by an earlier failure");
        } else if (record.length == 0 || record.length > MAX_RECORD_BYTES) {
            throw new IOException("a record of " + record.length + " bytes cannot be kept");
        }
        try {
            writeRecord(file, record);
            lengthBytes += RECORD_HEADER_BYTES + record.length;
        } catch (IOException e) {
            truncateFailedWrite();
            throw e;
        }
    }

    /** What a failed write has left must not stand before later records. */
    private void truncateFailedWrite() {
        try {
            file.truncate(lengthBytes);
        } catch (IOException e) {
            broken = true;
        }
    }

    public void sync() throws IOException {
        try {
            file.sync();
        } catch (IOException e) {
            broken = true; // the kernel may have dropped what it could not write
            throw e;
        }
    }

    /** Whether it takes no more records until a new generation has begun. */
    public boolean isBroken() {
        return broken;
    }

    /** Bytes of this generation. */
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
