package reedmux.handover;

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
public final class Link implements AutoCloseable {
    /** Frames that may wait to be written; a process that takes none for so long is as good as gone. */
    private static final int MOST_WAITING = 256;

    private static final byte[] NO_MORE = {};

    /** Hears frames and the end, on threads of the link. */
    public interface Ear {
        void heard(Link from, Frame frame);

        void ended(Link link, String why);
    }

    private final SocketChannel channel;
    private final Ear ear;
    private final BlockingQueue<byte[]> waiting = new ArrayBlockingQueue<>(MOST_WAITING);
    private boolean ended;

    private Link(SocketChannel channel, Ear ear) {
        this.channel = channel;
        this.ear = ear;
    }

    private Link start() {
        thread("reedmux-handover-in", this::readAll);
        thread("reedmux-handover-out", this::writeAll);
        return this;
    }

    private static void thread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Connects to a process that listens there, or returns null where none does. */
    public static Link to(Path place, Ear ear) {
        SocketChannel channel = null;
        try {
            channel = SocketChannel.open(StandardProtocolFamily.UNIX);
            channel.connect(UnixDomainSocketAddress.of(place));
            return new Link(channel, ear).start();
        } catch (IOException | RuntimeException e) { // no such file, a stale one, or a path that is too long
            closeQuietly(channel);
            return null;
        }
    }

    /** Waits for others to connect, until closed; each gets a link. */
    public static final class Listener implements AutoCloseable {
        private final ServerSocketChannel server;
        private final Path place;
        private final Object file;

        /** Takes the place of whatever lies there. */
        public Listener(Path place, Ear ear, BiConsumer<Link, Listener> met) throws IOException {
            this.place = place;
            server = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
            try {
                Files.deleteIfExists(place);
                server.bind(UnixDomainSocketAddress.of(place), 2);
                file = key(place);
            } catch (IOException | RuntimeException e) {
                server.close();
                throw new IOException(place + ": " + e.getMessage(), e);
            }
            thread("reedmux-handover", () -> {
                try {
                    while (true) {
                        SocketChannel accepted = server.accept();
                        Link link = new Link(accepted, ear);
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
                if (Objects.equals(file, key(place))) {
                    Files.deleteIfExists(place);
                }
            } catch (IOException e) {
                // it is stale then, and whoever finds it can tell
            }
        }

        private static Object key(Path of) throws IOException {
            return Files.readAttributes(of, BasicFileAttributes.class).fileKey();
        }

        @Override
        public void close() {
            closeQuietly(server);
        }
    }

    /** Sends a frame, some time soon; false where the link has ended or nothing is taken there. */
    public boolean send(Frame frame) {
        if (!waiting.offer(Frames.bytes(frame))) {
            end("the other process takes nothing");
            return false;
        }
        return !ended();
    }

    private void writeAll() {
        try {
            while (true) {
                byte[] next = waiting.poll(1, TimeUnit.MINUTES);
                if (next == NO_MORE || ended()) {
                    end("closed here");
                    return;
                }
                for (ByteBuffer bytes = next == null ? null : ByteBuffer.wrap(next);
                        bytes != null && bytes.hasRemaining(); ) {
                    channel.write(bytes);
                }
            }
        } catch (IOException e) {
            end(e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void readAll() {
        try {
            while (true) {
                int length = fill(ByteBuffer.allocate(Integer.BYTES)).getInt();
                if (length <= 0 || length > Frames.LONGEST) {
                    throw new IOException("a frame of " + length + " bytes");
                }
                ear.heard(this, Frames.read(fill(ByteBuffer.allocate(length)).array()));
            }
        } catch (EOFException e) {
            end("the other process has gone");
        } catch (IOException | RuntimeException e) {
            end(String.valueOf(e.getMessage()));
        }
    }

    private ByteBuffer fill(ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            if (channel.read(bytes) < 0) {
                throw new EOFException();
            }
        }
        return bytes.flip();
    }

    private synchronized boolean ended() {
        return ended;
    }

    private void end(String why) {
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
        }
        closeQuietly(channel);
        waiting.clear();
        waiting.offer(NO_MORE);
        ear.ended(this, why);
    }

    /** Ends it once all that was sent is written. */
    public void finish() {
        if (!waiting.offer(NO_MORE)) {
            close();
        }
    }

    /** Ends it; the ear hears of that too. */
    @Override
    public void close() {
        end("closed here");
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
    public static Path place(Path folder, String name, String listen) {
        return folder.resolve("reedmux-" + (name + '-' + listen).replaceAll("[^A-Za-z0-9.-]", "_") + ".sock");
    }
}
