package reedmux.simulation.soak;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * The loopback addresses of one soak, which no other soak on this host uses meanwhile. Soaks name their machines and
 * checkers alike, so that two on the same addresses could take each other's processes for their own.
 */
final class LoopbackNetwork implements AutoCloseable {
    private static final int FIRST = 20;
    /** The second bytes of the addresses of soaks are below this. */
    private static final int END = 250;

    private final int number;
    private final FileLock lock;

    private LoopbackNetwork(int number, FileLock lock) {
        this.number = number;
        this.lock = lock;
    }

    /** Reserves a network until it is closed: the preferred one, or the next one that is free. */
    static LoopbackNetwork reserve(int preferred) throws IOException {
        for (int i = 0; i < END - FIRST; i++) {
            int number = FIRST + (preferred - FIRST + i) % (END - FIRST);
            FileLock lock = tryLock(number);
            if (lock != null) {
                return new LoopbackNetwork(number, lock);
            }
        }
        throw new IOException("all loopback networks are used by other soaks");
    }

    private static FileLock tryLock(int number) throws IOException {
        Path file = Path.of(System.getProperty("java.io.tmpdir"), "reedmux-soak-network-" + number + ".lock");
        FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock = null;
        try {
            lock = channel.tryLock();
        } catch (OverlappingFileLockException e) {
            // a soak of this JVM uses the network
        }
        if (lock == null) {
            channel.close();
        }
        return lock;
    }

    /** Returns the second byte of the addresses. */
    int number() {
        return number;
    }

    @Override
    public void close() throws IOException {
        lock.acquiredBy().close();
    }
}
