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
 * A connection to the other process of the same gatekeeper, over a Unix domain socket. Frames are read on one thread
 * and written on another, so that neither process ever blocks on the other. The handler is notified exactly once when
 * the connection ends, for whatever reason.
 */
public final class HandoverConnection implements AutoCloseable {
    /**
     * Maximum number of queued outgoing frames. If the queue is full, the other process is treated as unresponsive and
     * the connection is closed.
     */
    private static final int MAX_QUEUED_FRAMES = 256;

    /** Marks the end of the outgoing queue; no frame is written after it. */
    private static final byte[] END_OF_FRAMES = {};
    /** Maximum number of connections that wait to be accepted. */
    private static final int ACCEPT_BACKLOG = 2;

    /** Receives frames and the end of a connection, on the threads of the connection. */
    public interface HandoverFrameHandler {
        /** Handles a received frame. */
        void onFrame(HandoverConnection from, HandoverFrame frame);

        /** Handles the end of the connection, for the given reason; called once. */
        void onClosed(HandoverConnection connection, String reason);
    }

    private final SocketChannel channel;
    private final HandoverFrameHandler handler;
    private final BlockingQueue<byte[]> outgoing = new ArrayBlockingQueue<>(MAX_QUEUED_FRAMES);
    private boolean closed;

    private HandoverConnection(SocketChannel channel, HandoverFrameHandler handler) {
        this.channel = channel;
        this.handler = handler;
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

    /** Connects to the process that listens on a socket path. Returns null if no process does. */
    public static HandoverConnection connect(Path socketPath, HandoverFrameHandler handler) {
        SocketChannel channel = null;
        try {
            channel = SocketChannel.open(StandardProtocolFamily.UNIX);
            channel.connect(UnixDomainSocketAddress.of(socketPath));
            return new HandoverConnection(channel, handler).start();
        } catch (IOException | RuntimeException e) { // the file does not exist or is stale, or the path is too long
            closeQuietly(channel);
            return null;
        }
    }

    /** Accepts connections from other processes until it is closed. */
    public static final class HandoverServer implements AutoCloseable {
        private final ServerSocketChannel server;
        private final Path socketPath;
        private final Object fileKey;

        /**
         * Listens on a socket path, replacing any existing file.
         *
         * @param onConnected receives each connection before its first frame is handled
         */
        public HandoverServer(
                Path socketPath,
                HandoverFrameHandler handler,
                BiConsumer<HandoverConnection, HandoverServer> onConnected)
                throws IOException {
            this.socketPath = socketPath;
            server = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
            try {
                Files.deleteIfExists(socketPath);
                server.bind(UnixDomainSocketAddress.of(socketPath), ACCEPT_BACKLOG);
                fileKey = fileKeyOf(socketPath);
            } catch (IOException | RuntimeException e) {
                server.close();
                throw new IOException(socketPath + ": " + e.getMessage(), e);
            }
            startThread("reedmux-handover", () -> {
                try {
                    while (true) {
                        SocketChannel accepted = server.accept();
                        HandoverConnection connection = new HandoverConnection(accepted, handler);
                        onConnected.accept(connection, this);
                        connection.start();
                    }
                } catch (IOException e) {
                    closeQuietly(server);
                }
            });
        }

        /** Stops listening and deletes the socket file, unless another process has replaced it. */
        public void closeAndRemove() {
            close();
            try {
                if (Objects.equals(fileKey, fileKeyOf(socketPath))) {
                    Files.deleteIfExists(socketPath);
                }
            } catch (IOException e) {
                // the file stays, and processes that connect to it find it stale
            }
        }

        private static Object fileKeyOf(Path file) throws IOException {
            return Files.readAttributes(file, BasicFileAttributes.class).fileKey();
        }

        @Override
        public void close() {
            closeQuietly(server);
        }
    }

    /** Queues a frame to be written. Returns false if the connection has ended or the queue is full. */
    public boolean send(HandoverFrame frame) {
        if (!outgoing.offer(HandoverFrameCodec.encode(frame))) {
            closeWithReason("the other process does not read frames");
            return false;
        }
        return !isClosed();
    }

    private void writeAll() {
        try {
            while (true) {
                byte[] next = outgoing.poll(1, TimeUnit.MINUTES);
                if (next == END_OF_FRAMES || isClosed()) {
                    closeWithReason("closed by this process");
                    return;
                }
                for (ByteBuffer bytes = next == null ? null : ByteBuffer.wrap(next);
                        bytes != null && bytes.hasRemaining(); ) {
                    channel.write(bytes);
                }
            }
        } catch (IOException e) {
            closeWithReason(e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void readAll() {
        try {
            while (true) {
                int length = readFully(ByteBuffer.allocate(Integer.BYTES)).getInt();
                if (length <= 0 || length > HandoverFrameCodec.MAX_BODY_BYTES) {
                    throw new IOException("invalid frame length: " + length + " bytes");
                }
                handler.onFrame(
                        this,
                        HandoverFrameCodec.decode(
                                readFully(ByteBuffer.allocate(length)).array()));
            }
        } catch (EOFException e) {
            closeWithReason("the other process closed the connection");
        } catch (IOException | RuntimeException e) {
            closeWithReason(String.valueOf(e.getMessage()));
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

    private void closeWithReason(String reason) {
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
        }
        closeQuietly(channel);
        outgoing.clear();
        outgoing.offer(END_OF_FRAMES);
        handler.onClosed(this, reason);
    }

    /** Closes the connection after all queued frames have been written. */
    public void closeAfterWriting() {
        if (!outgoing.offer(END_OF_FRAMES)) {
            close();
        }
    }

    /** Closes the connection. The handler is notified of this, too. */
    @Override
    public void close() {
        closeWithReason("closed by this process");
    }

    private static void closeQuietly(AutoCloseable closeable) {
        try {
            if (closeable != null) {
                closeable.close();
            }
        } catch (Exception e) {
            // ignored: the channel is not used any more
        }
    }

    /** Returns the socket path on which a gatekeeper with this name and listen address accepts its other processes. */
    public static Path socketPath(Path folder, String name, String listen) {
        return folder.resolve("reedmux-" + (name + '-' + listen).replaceAll("[^A-Za-z0-9.-]", "_") + ".sock");
    }
}
