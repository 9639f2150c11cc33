package reedmux.common.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * A directory of files, with the operations that a {@link Journal} needs and their guarantees after a power loss: each
 * write and each change of a name that no sync has covered may independently be lost or kept. All methods may block on
 * disk I/O.
 */
public interface Volume {

    /** A file that is open for writing. */
    interface WritableFile extends AutoCloseable {
        /** Writes all remaining bytes of the buffer after the previously written ones. */
        void write(ByteBuffer bytes) throws IOException;

        /**
         * Makes all written bytes durable: they survive a power loss once this method has returned. The file's name
         * needs a {@link Volume#syncDirectory} of its own.
         */
        void sync() throws IOException;

        /** Truncates the file to a length in bytes; the next write appends at that position. */
        void truncate(long length) throws IOException;

        @Override
        void close() throws IOException;
    }

    /** The names of all files; empty if the directory does not exist yet. */
    List<String> fileNames() throws IOException;

    /** Reads the whole content of a file, synced or not. */
    byte[] read(String name) throws IOException;

    /** Opens a file for writing and empties it; creates the file and the directory if they do not exist. */
    WritableFile create(String name) throws IOException;

    /** Renames a file atomically, replacing an existing file of the new name. */
    void rename(String from, String to) throws IOException;

    /** Makes all created, renamed and removed names durable: they survive a power loss once this method returns. */
    void syncDirectory() throws IOException;

    /** Deletes a file if it exists. */
    void delete(String name) throws IOException;
}
