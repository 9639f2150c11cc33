package reedmux.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.zip.CRC32C;

/**
 * Records in a file, each with its length and a checksum. A generation of the file begins with a whole
 * state and an empty record, written, synced and renamed before it counts; the one before is kept until
 * there is a third. What was synced is found again, whatever became of later writes. For one thread, which
 * waits for the disk.
 */
public final class Journal implements AutoCloseable {
    private static final String PREFIX = "items-";
    private static final String FRESH = "fresh";
    private static final int HEAD = 8;
    private static final int MOST = 64 * 1024 * 1024;
    private final Volume volume;
    private Volume.File file;
    private long generation;
    private long length;
    private boolean broken;
    private boolean found;

    public Journal(Volume volume) {
        this.volume = volume;
    }

    /** All records that can be read, the oldest first; none where there is no file. */
    public List<byte[]> read() throws IOException {
        TreeMap<Long, String> files = new TreeMap<>();
        for (String name : volume.names()) {
            String number = name.startsWith(PREFIX) ? name.substring(PREFIX.length()) : "";
            if (number.chars().allMatch(c -> c >= '0' && c <= '9') && !number.isEmpty()) {
                files.put(Long.parseLong(number), name);
            }
        }
        generation = files.isEmpty() ? 0 : files.lastKey();
        for (String name : files.descendingMap().values()) {
            List<byte[]> records = records(name);
            if (records != null) {
                found = true;
                return records;
            }
        }
        return List.of();
    }

    /** Whether {@link #read()} has found a file whose beginning is whole. */
    public boolean found() {
        return found;
    }

    /**
     * The records of one file without the empty one, or null if the whole state at its beginning is not
     * there.
     */
    private List<byte[]> records(String name) throws IOException {
        ByteBuffer in = ByteBuffer.wrap(volume.read(name));
        List<byte[]> records = new ArrayList<>();
        boolean whole = false;
        while (in.remaining() >= HEAD) {
            int size = in.getInt();
            int sum = in.getInt();
            if (size < 0 || size > in.remaining()) {
                break;
            }
            byte[] record = new byte[size];
            in.get(record);
            if (sum(record) != sum) {
                break;
            }
            if (size == 0) {
                whole = true;
            } else {
                records.add(record);
            }
        }
        return whole ? records : null;
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
    public void begin(List<byte[]> state) throws IOException {
        long next = generation + 1;
        String named = PREFIX + next;
        Volume.File made = volume.create(FRESH);
        long size = 0;
        try {
            for (byte[] record : state) {
                size += put(made, record);
            }
            size += put(made, new byte[0]);
            made.force();
            // From here on a start may find this generation, so that none before it can be added to.
            broken = true;
            generation = next;
            volume.rename(FRESH, named);
            volume.forceNames();
            if (records(named) == null) {
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
        volume.delete(PREFIX + (next - 2));
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
