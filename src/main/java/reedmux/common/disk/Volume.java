package reedmux.common.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/** A folder on a disk, with just what {@link Journal} asks of one. */
public interface Volume {

    /** A file that is open for writing. */
    interface WritableFile extends AutoCloseable {
        void write(ByteBuffer bytes) throws IOException;

        /** When it returns, all that was written survives a loss of power. */
        void sync() throws IOException;

        void truncate(long length) throws IOException;

        @Override
        void close() throws IOException;
    }

    /** The names of all files; none where there is no folder, which {@link #create} makes. */
    List<String> fileNames() throws IOException;

    byte[] read(String name) throws IOException;

    /** Opens a file that is empty then. */
    WritableFile create(String name) throws IOException;

    /** In place of another of that name, as a whole or not at all. */
    void rename(String from, String to) throws IOException;

    /** Names that were renamed or removed survive a loss of power. */
    void syncDirectory() throws IOException;

    void delete(String name) throws IOException;
}
