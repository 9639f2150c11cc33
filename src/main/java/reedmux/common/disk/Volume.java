package reedmux.common.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * A folder of files, with just the operations that a {@link Journal} needs and what each of them promises after a loss
 * of power: what no sync has covered may be lost or kept, each write and each name by itself. All methods may wait for
 * the disk.
 */
public interface Volume {

    /** A file that is open for writing. */
    interface WritableFile extends AutoCloseable {
        /** Writes all remaining bytes behind those that were written before. */
        void write(ByteBuffer bytes) throws IOException;

        /** When it returns, all that was written survives a loss of power. The file's name needs a sync of its own. */
        void sync() throws IOException;

        /** Cuts the file; what is written next comes behind the rest. */
        void truncate(long length) throws IOException;

        @Override
        void close() throws IOException;
    }

    /** The names of all files; none where there is no folder yet. */
    List<String> fileNames() throws IOException;

    /** All bytes of a file, whether they were synced or not. */
    byte[] read(String name) throws IOException;

    /** Opens a file that is empty then, making it and the folder where they are not there. */
    WritableFile create(String name) throws IOException;

    /** Gives a file another name, in place of a file that has it already, and as a whole or not at all. */
    void rename(String from, String to) throws IOException;

    /** When it returns, all names that were given and removed survive a loss of power. */
    void syncDirectory() throws IOException;

    /** Removes a file, if it is there. */
    void delete(String name) throws IOException;
}
