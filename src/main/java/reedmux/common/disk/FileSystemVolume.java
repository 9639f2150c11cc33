package reedmux.common.disk;

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

/** A {@link Volume} backed by a directory of the local file system. */
public final class FileSystemVolume implements Volume {
    private final Path directory;

    /** Creates a volume over a directory; {@link #create} creates the directory if it does not exist yet. */
    public FileSystemVolume(Path directory) {
        this.directory = directory;
    }

    @Override
    public List<String> fileNames() throws IOException {
        List<String> names = new ArrayList<>();
        if (Files.notExists(directory)) {
            return names;
        }
        try (DirectoryStream<Path> paths = Files.newDirectoryStream(directory)) {
            // No lambda here: the class archive is recorded with an empty directory and would not contain its class.
            for (Path path : paths) {
                names.add(path.getFileName().toString());
            }
        }
        return names;
    }

    @Override
    public byte[] read(String name) throws IOException {
        return Files.readAllBytes(directory.resolve(name));
    }

    @Override
    public WritableFile create(String name) throws IOException {
        Files.createDirectories(directory);
        return new ChannelFile(FileChannel.open(
                directory.resolve(name),
                StandardOpenOption.CREATE,
                StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING));
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(directory.resolve(from), directory.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void syncDirectory() throws IOException {
        try (FileChannel folder = FileChannel.open(directory, StandardOpenOption.READ)) {
            folder.force(true);
        }
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(directory.resolve(name));
    }

    /** A file whose channel is positioned at the end of the written data. */
    private record ChannelFile(FileChannel channel) implements WritableFile {
        @Override
        public void write(ByteBuffer bytes) throws IOException {
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
        }

        @Override
        public void sync() throws IOException {
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
