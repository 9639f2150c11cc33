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
 * A connection to the other process of the same gatekeeper, over a Unix domain socket. Frames are read on a thread of
 * its own and written on another, so that neither process ever waits for the other. The handler is notified of the end
 * once, however it comes about.
 */
public final class HandoverConnection implements AutoCloseable {
    /** Frames that may wait to be written; a process that reads none for so long is as good as gone. */
    private static final int MAX_QUEUED_FRAMES = 256;

    /** In place of a frame: nothing is written after it. */
    private static final byte[] END_OF_FRAMES = {};
    /** Connections that may wait to be accepted. */
    private static final int ACCEPT_BACKLOG = 2;

    /** Is notified of frames and of the end, on threads of the connection. */
    public interface HandoverFrameHandler {
        /** A frame has come in. */
        void onFrame(HandoverConnection from, HandoverFrame frame);

        /** The connection has ended, for that reason; called once. */
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

    /** Connects to the process that listens at a socket's path; returns null where none does. */
    public static HandoverConnection connect(Path socketPath, HandoverFrameHandler handler) {
        SocketChannel channel = null;
        try {
            channel = SocketChannel.open(StandardProtocolFamily.UNIX);
            channel.connect(UnixDomainSocketAddress.of(socketPath));
            return new HandoverConnection(channel, handler).start();
        } catch (IOException | RuntimeException e) { // no such file, a stale one, or a path that is too long
            closeQuietly(channel);
            return null;
        }
    }

    /** Accepts connections of other processes, until closed. */
    public static final class HandoverServer implements AutoCloseable {
        private final ServerSocketChannel server;
        private final Path socketPath;
        private final Object fileKey;

        /**
         * Listens at a path, in place of any file there.
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

        /** Stops listening and deletes the socket's file, unless it is another process's by now. */
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

        private static Object fileKeyOf(Path file) throws IOException {
            return Files.readAttributes(file, BasicFileAttributes.class).fileKey();
        }

        @Override
        public void close() {
            closeQuietly(server);
        }
    }

    /** Queues a frame to be written; returns false where the connection has ended or its queue is full. */
    public boolean send(HandoverFrame frame) {
        if (!outgoing.offer(HandoverFrameCodec.encode(frame))) {
            closeWithReason("the other process takes nothing");
            return false;
        }
        return !isClosed();
    }

    private void writeAll() {
        try {
            while (true) {
                byte[] next = outgoing.poll(1, TimeUnit.MINUTES);
                if (next == END_OF_FRAMES || isClosed()) {
                    closeWithReason("closed here");
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
                    throw new IOException("a frame of " + length + " bytes");
                }
                handler.onFrame(
                        this,
                        HandoverFrameCodec.decode(
                                readFully(ByteBuffer.allocate(length)).array()));
            }
        } catch (EOFException e) {
            closeWithReason("the other process has gone");
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

    /** Closes the connection once all queued frames are written. */
    public void closeAfterWriting() {
        if (!outgoing.offer(END_OF_FRAMES)) {
            close();
        }
    }

    /** Closes the connection; the handler is notified of that too. */
    @Override
    public void close() {
        closeWithReason("closed here");
    }

    private static void closeQuietly(AutoCloseable closeable) {
        try {
            if (closeable != null) {
                closeable.close();
            }
        } catch (Exception e) {
            // nothing is left to be done with it
        }
    }

    /** The path at which a gatekeeper of this name and address listens for other processes of its own. */
    public static Path socketPath(Path folder, String name, String listen) {
        return folder.resolve("reedmux-" + (name + '-' + listen).replaceAll("[^A-Za-z0-9.-]", "_") + ".sock");
    }
}
