package reedmux.common.eventloop;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

/**
 * A TCP connection of a {@link Reactor}: what has come in and is not used yet, and what waits to go out.
 * For the reactor's thread alone.
 */
public final class Connection implements Environment.ReadinessHandler {
    private static final byte[] EMPTY = {};
    private static final int MIN_BUFFER_BYTES = 1024;

    /** Whom a connection's events are told. */
    public interface ConnectionHandler {

        /** It is up. */
        default void onConnected() {}

        /** More has come in, or the other side has ended it. */
        void onInput() throws IOException;

        /** All that waited has gone out. */
        default void onFlushed() throws IOException {}

        /** It is gone, and not by our {@link #close()}; told once. */
        void onClosed(String why);
    }

    private final Reactor reactor;
    private final Environment.TcpSocket socket;
    private ConnectionHandler handler;
    private byte[] inputBuffer = EMPTY;
    private int inputStart;
    private int inputEnd;
    private boolean inputEnded;
    private boolean readPaused;
    private boolean closed;
    private boolean connected;
    private final Deque<ByteBuffer> outputQueue = new ArrayDeque<>();
    private long queuedBytes;
    private long sentBytes;

    private Connection(Reactor reactor, Environment.TcpSocket line) {
        this.reactor = reactor;
        this.socket = line;
    }

    /** One that has been accepted. */
    static Connection ofAccepted(Reactor reactor, Environment.TcpSocket line) throws IOException {
        Connection wire = new Connection(reactor, line);
        wire.connected = true;
        line.setHandler(reactor.guarded(wire));
        return wire;
    }

    /** Opens one; {@code owner} hears when it is up, or that it has not come up. */
    public static Connection connect(
            Reactor reactor, InetSocketAddress to, InetSocketAddress local, ConnectionHandler owner)
            throws IOException {
        Environment.TcpSocket line = reactor.environment().connect(to, local);
        Connection wire = new Connection(reactor, line);
        wire.handler = owner;
        line.setHandler(reactor.guarded(wire));
        if (line.isConnectedAtOnce()) {
            reactor.execute(wire::markConnected);
        }
        return wire;
    }

    private void markConnected() {
        if (!closed && !connected) {
            connected = true;
            updateInterest();
            handler.onConnected();
        }
    }

    public void setHandler(ConnectionHandler told) {
        handler = told;
    }

    /** Who is at the other end, for people to read. */
    public String remoteAddress() {
        return socket.remoteAddress();
    }

    public boolean isOpen() {
        return !closed;
    }

    public boolean isConnected() {
        return connected && !closed;
    }

    @Override
    public void onReady(boolean readable, boolean writable) throws IOException {
        if (closed) {
            return;
        } else if (!connected) {
            if (socket.finishConnect()) {
                markConnected();
            }
            return;
        }
        if (readable) {
            read();
        }
        if (!closed && writable) {
            flush();
            if (!closed && queuedBytes == 0) {
                handler.onFlushed();
            }
        }
    }

    private void read() throws IOException {
        ByteBuffer chunk = reactor.readBuffer.clear();
        int some = socket.read(chunk);
        if (some < 0) {
            inputEnded = true;
            updateInterest();
        } else if (some > 0) {
            ensureCapacity(some);
            chunk.flip().get(inputBuffer, inputEnd, some);
            inputEnd += some;
        }
        if (some != 0) {
            handler.onInput();
            releaseIfEmpty();
        }
    }

    /**
     * Whether nothing has come in that nobody asked for, and it has not been ended: looked up at the
     * socket, as the reactor may not have been round yet.
     */
    public boolean isQuiescent() {
        if (closed || inputEnded || available() > 0) {
            return false;
        }
        try {
            ByteBuffer chunk = reactor.readBuffer.clear();
            return socket.read(chunk) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    private void ensureCapacity(int some) {
        if (inputBuffer.length - inputEnd >= some) {
            return;
        }
        int held = inputEnd - inputStart;
        byte[] next = held + some <= inputBuffer.length
                ? inputBuffer
                : new byte
                        [Math.max(
                                MIN_BUFFER_BYTES,
                                Math.max(held + some, Math.min(2 * inputBuffer.length, inputBuffer.length + 65_536)))];
        System.arraycopy(inputBuffer, inputStart, next, 0, held);
        inputBuffer = next;
        inputStart = 0;
        inputEnd = held;
    }

    private void releaseIfEmpty() {
        if (inputStart == inputEnd) {
            inputStart = 0;
            inputEnd = 0;
            if (inputBuffer.length > 4 * MIN_BUFFER_BYTES) {
                inputBuffer = EMPTY;
            }
        }
    }

    // ---- What has come in --------------------------------------------------------------------------
    public int available() {
        return inputEnd - inputStart;
    }

    /** A byte that has come in, counted from the first that is not used yet. */
    public byte peek(int offset) {
        return inputBuffer[inputStart + offset];
    }

    public void skip(int many) {
        inputStart += many;
        releaseIfEmpty();
    }

    /** Takes bytes away from what has come in. */
    public byte[] readBytes(int many) {
        byte[] taken = Arrays.copyOfRange(inputBuffer, inputStart, inputStart + many);
        skip(many);
        return taken;
    }

    /** A part of what has come in, one character a byte. */
    public String peekText(int offset, int length) {
        return new String(inputBuffer, inputStart + offset, length, java.nio.charset.StandardCharsets.ISO_8859_1);
    }

    /** Whether the other side will send no more than {@link #available()}. */
    public boolean isInputEnded() {
        return inputEnded;
    }

    // ---- What goes out -----------------------------------------------------------------------------
    public void write(byte[] bytes) {
        write(ByteBuffer.wrap(bytes));
    }

    /** Sends, now or as soon as the other side takes it; a failure is told to the owner in a later turn. */
    public void write(ByteBuffer bytes) {
        if (closed) {
            return;
        }
        queuedBytes += bytes.remaining();
        outputQueue.add(bytes);
        if (connected && outputQueue.size() == 1) {
            try {
                flush();
            } catch (IOException e) {
                reactor.execute(() -> onFailure(e));
            }
        }
    }

    private void flush() throws IOException {
        while (!outputQueue.isEmpty()) {
            ByteBuffer first = outputQueue.peek();
            int some = socket.write(first);
            sentBytes += some;
            queuedBytes -= some;
            if (first.hasRemaining()) {
                break;
            }
            outputQueue.poll();
        }
        updateInterest();
    }

    /** Bytes that the kernel has taken. */
    public long sentBytes() {
        return sentBytes;
    }

    /** Bytes that it has not taken yet. */
    public long queuedBytes() {
        return queuedBytes;
    }

    /** Stops reading, so that the other side is held up, or goes on. */
    public void setReadPaused(boolean pause) {
        readPaused = pause;
        updateInterest();
    }

    private void updateInterest() {
        if (connected && !closed) {
            socket.setInterest(!inputEnded && !readPaused, queuedBytes > 0);
        }
    }

    // ---- The end -----------------------------------------------------------------------------------
    /** Ends it from here; its owner hears nothing. */
    public void close() {
        if (!closed) {
            closed = true;
            outputQueue.clear();
            inputBuffer = EMPTY;
            inputStart = 0;
            inputEnd = 0;
            try {
                socket.close();
            } catch (IOException e) {
                // it is gone either way
            }
        }
    }

    /** No more goes out from here, and what comes in is still read; the other side sees the end. */
    public void shutdownOutput() {
        try {
            socket.shutdownOutput();
        } catch (IOException | RuntimeException e) {
            close();
        }
    }

    @Override
    public void onFailure(Exception cause) {
        if (!closed) {
            close();
            handler.onClosed(String.valueOf(cause.getMessage()));
        }
    }
}
