package reedmux.gatekeeper.handover;

import java.io.EOFException;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.Objects;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/**
 * A connection to the other process of the same gatekeeper, over a local socket. Frames are read by a thread
 * of its own and written by another, so that neither process ever waits for the other. The end, however it
 * comes about, is told once.
 */
public final class HandoverConnection implements AutoCloseable {
    /** Frames that may wait to be written; a process that takes none for so long is as good as gone. */
    private static final int MAX_QUEUED_FRAMES = 256;

    private static final byte[] END_OF_FRAMES = {};

    /** Hears frames and the end, on threads of the link. */
    public interface HandoverFrameHandler {
        void onFrame(HandoverConnection from, HandoverFrame frame);

        void onClosed(HandoverConnection link, String why);
    }

    private final SocketChannel channel;
    private final HandoverFrameHandler handler;
    private final BlockingQueue<byte[]> outgoing = new ArrayBlockingQueue<>(MAX_QUEUED_FRAMES);
    private boolean closed;

    private HandoverConnection(SocketChannel channel, HandoverFrameHandler ear) {
        this.channel = channel;
        this.handler = ear;
    }

    private HandoverConnection start() {
        startThread("reedmux-handover-in", this::readAll);
        startThread("reedmux-handover-out", this::writeAll);
        return this;
    }

    private static void startThread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Connects to a process that listens there, or returns null where none does. */
    public static HandoverConnection connect(Path place, HandoverFrameHandler ear) {
        SocketChannel channel = null;
        try {
            channel = SocketChannel.open(StandardProtocolFamily.UNIX);
            channel.connect(UnixDomainSocketAddress.of(place));
            return new HandoverConnection(channel, ear).start();
        } catch (IOException | RuntimeException e) { // no such file, a stale one, or a path that is too long
            closeQuietly(channel);
            return null;
        }
    }

    /** Waits for others to connect, until closed; each gets a link. */
    public static final class HandoverServer implements AutoCloseable {
        private final ServerSocketChannel server;
        private final Path socketPath;
        private final Object fileKey;

        /** Takes the place of whatever lies there. */
        public HandoverServer(Path place, HandoverFrameHandler ear, BiConsumer<HandoverConnection, HandoverServer> met)
                throws IOException {
            this.socketPath = place;
            server = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
            try {
                Files.deleteIfExists(place);
                server.bind(UnixDomainSocketAddress.of(place), 2);
                fileKey = fileKeyOf(place);
            } catch (IOException | RuntimeException e) {
                server.close();
                throw new IOException(place + ": " + e.getMessage(), e);
            }
            startThread("reedmux-handover", () -> {
                try {
                    while (true) {
                        SocketChannel accepted = server.accept();
                        HandoverConnection link = new HandoverConnection(accepted, ear);
                        met.accept(link, this);
                        link.start();
                    }
                } catch (IOException e) {
                    closeQuietly(server);
                }
            });
        }

        /** Stops listening and takes its file away, unless another's lies there by now. */
        public void closeAndRemove() {
            close();
            try {
                if (Objects.equals(fileKey, fileKeyOf(socketPath))) {
                    Files.deleteIfExists(socketPath);
                }
            } catch (IOException e) {
                // it is stale then, and whoever finds it can tell
            }
        }

        private static Object fileKeyOf(Path of) throws IOException {
            return Files.readAttributes(of, BasicFileAttributes.class).fileKey();
        }

        @Override
        public void close() {
            closeQuietly(server);
        }
    }

    /** Sends a frame, some time soon; false where the link has ended or nothing is taken there. */
    public boolean send(HandoverFrame frame) {
        if (!outgoing.offer(HandoverFrameCodec.encode(frame))) {
            closeBecause("the other process takes nothing");
            return false;
        }
        return !isClosed();
    }

    private void writeAll() {
        try {
            while (true) {
                byte[] next = outgoing.poll(1, TimeUnit.MINUTES);
                if (next == END_OF_FRAMES || isClosed()) {
                    closeBecause("closed here");
                    return;
                }
                for (ByteBuffer bytes = next == null ? null : ByteBuffer.wrap(next);
                        bytes != null && bytes.hasRemaining(); ) {
                    channel.write(bytes);
                }
            }
        } catch (IOException e) {
            closeBecause(e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void readAll() {
        try {
            while (true) {
                int length = readFully(ByteBuffer.allocate(Integer.BYTES)).getInt();
                if (length <= 0 || length > HandoverFrameCodec.MAX_BODY_BYTES) {
                    throw new IOException("a frame of " + length + " bytes");
                }
                handler.onFrame(
                        this,
                        HandoverFrameCodec.decode(
                                readFully(ByteBuffer.allocate(length)).array()));
            }
        } catch (EOFException e) {
            closeBecause("the other process has gone");
        } catch (IOException | RuntimeException e) {
            closeBecause(String.valueOf(e.getMessage()));
        }
    }

    private ByteBuffer readFully(ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            if (channel.read(bytes) < 0) {
                throw new EOFException();
            }
        }
        return bytes.flip();
    }

    private synchronized boolean isClosed() {
        return closed;
    }

    private void closeBecause(String why) {
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
        }
        closeQuietly(channel);
        outgoing.clear();
        outgoing.offer(END_OF_FRAMES);
        handler.onClosed(this, why);
    }

    /** Ends it once all that was sent is written. */
    public void closeAfterWriting() {
        if (!outgoing.offer(END_OF_FRAMES)) {
            close();
        }
    }

    /** Ends it; the ear hears of that too. */
    @Override
    public void close() {
        closeBecause("closed here");
    }

    private static void closeQuietly(AutoCloseable what) {
        try {
            if (what != null) {
                what.close();
            }
        } catch (Exception e) {
            // nothing is left to be done with it
        }
    }

    /** Where processes of the gatekeeper of this name and address meet. */
    public static Path socketPath(Path folder, String name, String listen) {
        return folder.resolve("reedmux-" + (name + '-' + listen).replaceAll("[^A-Za-z0-9.-]", "_") + ".sock");
    }
}
