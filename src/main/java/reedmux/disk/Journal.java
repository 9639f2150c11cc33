package reedmux.disk;

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
    static final int FORM = 1;

    private static final byte[] MARK = {'r', 'e', 'e', 'd', 'm', 'u', 'x'};
    private static final String PREFIX = "items-";
    private static final String FRESH = "fresh";
    private static final int MOST_DIGITS = 18;
    private static final int HEAD = 8;
    private static final int MOST = 64 * 1024 * 1024;
    private final Volume volume;
    private Volume.File file;
    /** Files that are there, by their generation; null until the folder could be read. */
    private TreeMap<Long, String> files;

    private long generation;
    private long length;
    private boolean broken = true;
    private boolean found;
    private boolean damaged;
    private String newer;
    private final List<String> problems = new ArrayList<>();
    private final List<String> places = new ArrayList<>();

    public Journal(Volume volume) {
        this.volume = volume;
    }

    private void list() throws IOException {
        if (files == null) {
            TreeMap<Long, String> all = new TreeMap<>();
            for (String name : volume.names()) {
                String number = name.startsWith(PREFIX) ? name.substring(PREFIX.length()) : "";
                if (number.chars().allMatch(c -> c >= '0' && c <= '9')
                        && !number.isEmpty()
                        && number.length() <= MOST_DIGITS) {
                    all.put(Long.parseLong(number), name);
                }
            }
            generation = all.isEmpty() ? 0 : all.lastKey();
            files = all;
        }
    }

    /**
     * All records that can be read, the oldest first; none where there is no file. What cannot be read is
     * told by {@link #problems()}.
     */
    public List<byte[]> read() {
        try {
            list();
        } catch (IOException e) {
            problems.add("the folder cannot be read: " + e.getMessage());
            found = true;
            damaged = true;
            return List.of();
        }
        List<byte[]> all = new ArrayList<>();
        for (String name : files.descendingMap().values()) {
            found = true;
            try {
                if (records(name, volume.read(name), all)) {
                    return all;
                }
            } catch (IOException e) {
                problems.add(name + " cannot be read: " + e.getMessage());
            }
            damaged = true; // what was added to this one may be in none before it
        }
        return all;
    }

    /** Whether {@link #read()} has found anything of ours. */
    public boolean found() {
        return found;
    }

    /** Whether something that was safe may be missing from what {@link #read()} has found. */
    public boolean damaged() {
        return damaged;
    }

    /** What could not be read, each with its file and offset. */
    public List<String> problems() {
        return problems;
    }

    /** The file and offset of a record that {@link #read()} has returned. */
    public String place(int record) {
        return places.get(record);
    }

    /**
     * Puts the records of one file without its form and the empty one before those that newer ones had, and
     * returns whether the whole state at its beginning is there.
     */
    private boolean records(String name, byte[] bytes, List<byte[]> into) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        List<byte[]> records = new ArrayList<>();
        List<String> at = new ArrayList<>();
        boolean whole = false;
        boolean intact = true;
        while (in.remaining() >= HEAD) {
            int start = in.position();
            int size = in.getInt();
            int sum = in.getInt();
            if (size < 0 || size > in.remaining()) {
                problem(name, start, "a record of " + size + " bytes where " + in.remaining() + " are left");
                in.position(in.limit());
                break;
            }
            byte[] record = new byte[size];
            in.get(record);
            if (sum(record) != sum) { // one behind it may be whole, as writes survive one by one
                problem(name, start, "the checksum of a record of " + size + " bytes is wrong");
                intact = false;
                if (size == 0) {
                    in.position(in.limit());
                }
            } else if (size == 0) {
                whole = whole || intact;
            } else if (start == 0 && isForm(record)) {
                if (record[MARK.length] > FORM) {
                    newer = name + " is of form " + record[MARK.length] + ", and this program knows forms up" + " to "
                            + FORM + ": nothing is written here";
                    problems.add(newer);
                    return false;
                }
            } else {
                records.add(record);
                at.add(name + " at " + start);
            }
        }
        if (!whole) {
            problem(name, 0, "the state it begins with is not whole");
        } else if (in.hasRemaining()) {
            problem(name, in.position(), "a record is cut");
        }
        into.addAll(0, records);
        places.addAll(0, at);
        return whole;
    }

    private void problem(String name, int at, String what) {
        problems.add(name + " at " + at + ": " + what);
    }

    private static boolean isForm(byte[] record) {
        return record.length == MARK.length + 1 && Arrays.mismatch(record, MARK) == MARK.length;
    }

    private static byte[] form() {
        byte[] record = Arrays.copyOf(MARK, MARK.length + 1);
        record[MARK.length] = FORM;
        return record;
    }

    private static int sum(byte[] record) {
        CRC32C sum = new CRC32C();
        sum.update(record.length);
        sum.update(record, 0, record.length);
        return ~(int) sum.getValue();
    }

    private static int put(Volume.File to, byte[] record) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate(HEAD + record.length);
        bytes.putInt(record.length).putInt(sum(record)).put(record).flip();
        to.write(bytes);
        return HEAD + record.length;
    }

    /** Begins a new generation with a whole state; when it returns that is safe. */
    public void begin(Iterable<byte[]> state) throws IOException {
        list();
        if (newer != null) {
            throw new IOException(newer);
        }
        problems.clear();
        places.clear();
        long next = generation + 1;
        String named = PREFIX + next;
        volume.delete(FRESH); // a name that a crash has left, perhaps of a file that has another one, too
        Volume.File made = volume.create(FRESH);
        long size = 0;
        try {
            size += put(made, form());
            for (byte[] record : state) {
                size += put(made, record);
            }
            size += put(made, new byte[0]);
            made.force();
            // From here on a start may find this generation, so that none before it can be added to.
            broken = true;
            generation = next;
            files.put(next, named);
            volume.rename(FRESH, named);
            volume.forceNames();
            if (!records(named, volume.read(named), new ArrayList<>())) {
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
        length = size;
        broken = false;
        while (files.firstKey() < next - 1) {
            volume.delete(files.pollFirstEntry().getValue());
        }
    }

    /** Appends a record; it is safe once {@link #sync()} has returned. */
    public void append(byte[] record) throws IOException {
        if (broken) {
            throw new IOException("the file is spoilt by an earlier failure");
        } else if (record.length == 0 || record.length > MOST) {
            throw new IOException("a record of " + record.length + " bytes cannot be kept");
        }
        try {
            put(file, record);
            length += HEAD + record.length;
        } catch (IOException e) {
            takeBack();
            throw e;
        }
    }

    /** What a failed write has left must not stand before later records. */
    private void takeBack() {
        try {
            file.truncate(length);
        } catch (IOException e) {
            broken = true;
        }
    }

    public void sync() throws IOException {
        try {
            file.force();
        } catch (IOException e) {
            broken = true; // the kernel may have dropped what it could not write
            throw e;
        }
    }

    /** Whether it takes no more records until a new generation has begun. */
    public boolean broken() {
        return broken;
    }

    /** Bytes of this generation. */
    public long length() {
        return length;
    }

    @Override
    public void close() throws IOException {
        if (file != null) {
            file.close();
        }
    }
}
