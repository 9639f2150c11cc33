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

/** A folder of the machine's own disk. */
public final class Folder implements Volume {
    private final Path dir;

    public Folder(Path dir) {
        this.dir = dir;
    }

    @Override
    public List<String> names() throws IOException {
        List<String> names = new ArrayList<>();
        if (Files.notExists(dir)) {
            return names;
        }
        try (DirectoryStream<Path> all = Files.newDirectoryStream(dir)) {
            for (Path path : all) { // no lambda: where the folder is new, none is rehearsed for the archive
                names.add(path.getFileName().toString());
            }
        }
        return names;
    }

    @Override
    public byte[] read(String name) throws IOException {
        return Files.readAllBytes(dir.resolve(name));
    }

    @Override
    public File create(String name) throws IOException {
        Files.createDirectories(dir);
        return new Open(FileChannel.open(
                dir.resolve(name),
                StandardOpenOption.CREATE,
                StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING));
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(dir.resolve(from), dir.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void forceNames() throws IOException {
        try (FileChannel folder = FileChannel.open(dir, StandardOpenOption.READ)) {
            folder.force(true);
        }
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(dir.resolve(name));
    }

    private record Open(FileChannel channel) implements File {
        @Override
        public void write(ByteBuffer bytes) throws IOException {
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
        }

        @Override
        public void force() throws IOException {
            channel.force(true);
        }

        @Override
        public void truncate(long length) throws IOException {
            channel.truncate(length);
            channel.position(length);
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}
