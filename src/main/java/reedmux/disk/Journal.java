package reedmux.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
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
    private static final int HEAD = 8;
    private static final int MOST = 64 * 1024 * 1024;
    private final Path dir;
    private FileChannel file;
    private long generation;
    private long length;
    private boolean broken;
    private boolean found;

    public Journal(Path dir) {
        this.dir = dir;
    }

    /** All records that can be read, the oldest first; none where there is no file. */
    public List<byte[]> read() throws IOException {
        Files.createDirectories(dir);
        TreeMap<Long, Path> files = new TreeMap<>();
        try (DirectoryStream<Path> all = Files.newDirectoryStream(dir, PREFIX + "*")) {
            for (Path path : all) {
                String number = path.getFileName().toString().substring(PREFIX.length());
                if (number.chars().allMatch(c -> c >= '0' && c <= '9') && !number.isEmpty()) {
                    files.put(Long.parseLong(number), path);
                }
            }
        }
        generation = files.isEmpty() ? 0 : files.lastKey();
        for (Path path : files.descendingMap().values()) {
            List<byte[]> records = records(path);
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
    private static List<byte[]> records(Path path) throws IOException {
        byte[] bytes = Files.readAllBytes(path);
        ByteBuffer in = ByteBuffer.wrap(bytes);
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

    private static void put(FileChannel to, byte[] record) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate(HEAD + record.length);
        bytes.putInt(record.length).putInt(sum(record)).put(record).flip();
        while (bytes.hasRemaining()) {
            to.write(bytes);
        }
    }

    /** Begins a new generation with a whole state; when it returns that is safe. */
    public void begin(List<byte[]> state) throws IOException {
        long next = generation + 1;
        Path fresh = dir.resolve("fresh");
        FileChannel made = FileChannel.open(fresh, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING);
        try {
            for (byte[] record : state) {
                put(made, record);
            }
            put(made, new byte[0]);
            made.force(true);
            Path named = dir.resolve(PREFIX + next);
            Files.move(fresh, named, StandardCopyOption.ATOMIC_MOVE);
            try (FileChannel folder = FileChannel.open(dir, StandardOpenOption.READ)) {
                folder.force(true);
            }
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
        length = made.position();
        generation = next;
        broken = false;
        Files.deleteIfExists(dir.resolve(PREFIX + (next - 2)));
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
            file.position(length);
        } catch (IOException e) {
            broken = true;
        }
    }

    public void sync() throws IOException {
        try {
            file.force(false);
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
