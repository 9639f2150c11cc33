package reedmux.common.eventloop;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

/**
 * A TCP connection of a {@link Reactor} with an input buffer and an output queue. Input stays in the buffer until the
 * handler consumes it; output that the kernel does not take is queued without a bound, so a handler that forwards data
 * watches {@link #queuedBytes} and pauses its source. For the reactor's thread only.
 *
 * <p>States: connecting, connected, closed. The input may end earlier than the connection, as the peer may have shut
 * down its output only ({@link #isInputEnded}).
 */
public final class Connection implements Environment.ReadinessHandler {
    private static final byte[] EMPTY = {};
    private static final int MIN_BUFFER_BYTES = 1024;
    /** An empty buffer beyond this is given back, as most connections are idle most of the time. */
    private static final int MAX_IDLE_BUFFER_BYTES = 4 * MIN_BUFFER_BYTES;
    /** The buffer doubles up to this step, so that a long body does not reserve twice its size. */
    private static final int MAX_GROWTH_BYTES = 64 * 1024;

    /** Receives a connection's events, on the reactor's thread. */
    public interface ConnectionHandler {

        /** The connection that was opened here is established. */
        default void onConnected() {}

        /**
         * Input has arrived, or the peer has ended it ({@link #isInputEnded}).
         *
         * @throws IOException if the connection cannot go on; it is closed and {@link #onClosed} called
         */
        void onInput() throws IOException;

        /** The kernel has taken all queued output. */
        default void onFlushed() throws IOException {}

        /** The connection has failed or could not be established; called once, and not after {@link #close()}. */
        void onClosed(String reason);
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

    private Connection(Reactor reactor, Environment.TcpSocket socket) {
        this.reactor = reactor;
        this.socket = socket;
    }

    /** A connection that was accepted; the caller sets its handler. */
    static Connection ofAccepted(Reactor reactor, Environment.TcpSocket socket) throws IOException {
        Connection connection = new Connection(reactor, socket);
        connection.connected = true;
        socket.setHandler(reactor.guard(connection));
        return connection;
    }

    /**
     * Opens a connection. The handler is told in a later turn that it is established or has failed.
     *
     * @param local the address to bind, or null for any
     * @throws IOException if it fails at once, for instance without a descriptor
     */
    public static Connection connect(
            Reactor reactor, InetSocketAddress to, InetSocketAddress local, ConnectionHandler handler)
            throws IOException {
        Environment.TcpSocket socket = reactor.environment().connect(to, local);
        Connection connection = new Connection(reactor, socket);
        connection.handler = handler;
        socket.setHandler(reactor.guard(connection));
        if (socket.isConnectedAtOnce()) {
            reactor.execute(connection::markConnected);
        }
        return connection;
    }

    private void markConnected() {
        if (!closed && !connected) {
            connected = true;
            updateInterest();
            handler.onConnected();
        }
    }

    /** Sets who receives the events from now on. */
    public void setHandler(ConnectionHandler newHandler) {
        handler = newHandler;
    }

    /** The peer's address for log lines. */
    public String remoteAddress() {
        return socket.remoteAddress();
    }

    /** Whether it is connecting or connected. */
    public boolean isOpen() {
        return !closed;
    }

    /** Whether it is established and not closed. */
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
        if (fillBuffer() != 0) {
            reportInput();
        }
    }

    private void reportInput() throws IOException {
        handler.onInput();
        releaseIfEmpty();
    }

    /** Reads once; returns what the socket's read returned. */
    private int fillBuffer() throws IOException {
        ByteBuffer readBuffer = reactor.readBuffer.clear();
        int count = socket.read(readBuffer);
        if (count < 0) {
            inputEnded = true;
            updateInterest();
        } else if (count > 0) {
            ensureCapacity(count);
            readBuffer.flip().get(inputBuffer, inputEnd, count);
            inputEnd += count;
        }
        return count;
    }

    /**
     * Whether the peer has ended its input or reset the connection by now. Reads the socket, as the selector may not
     * have reported it yet; the handler is told of what has arrived in a later turn. While reading is paused, an end
     * that lies behind unread input is not seen.
     */
    public boolean pollInputEnded() {
        if (closed || inputEnded) {
            return true;
        } else if (readPaused || !connected) {
            return false;
        }
        try {
            int count = fillBuffer();
            boolean arrived = count != 0;
            while (count > 0 && available() < MAX_GROWTH_BYTES) {
                count = fillBuffer();
            }
            if (arrived) {
                reactor.execute(this::reportPolledInput);
            }
            return inputEnded;
        } catch (IOException e) {
            reactor.execute(() -> onFailure(e));
            return true;
        }
    }

    private void reportPolledInput() {
        try {
            if (!closed) {
                reportInput();
            }
        } catch (IOException e) {
            onFailure(e);
        }
    }

    /**
     * Whether the connection may carry another request: it is open and has no unsolicited input. Reads the socket, as
     * the selector may not have reported what has arrived; whatever arrived makes the connection unusable, so it is not
     * kept.
     */
    public boolean isQuiescent() {
        if (closed || inputEnded || available() > 0) {
            return false;
        }
        try {
            return socket.read(reactor.readBuffer.clear()) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Makes room for so many bytes behind {@link #inputEnd}, by moving the content to the front or to a new array. */
    private void ensureCapacity(int count) {
        if (inputBuffer.length - inputEnd >= count) {
            return;
        }
        int unread = inputEnd - inputStart;
        byte[] target = inputBuffer;
        if (unread + count > inputBuffer.length) {
            int grown = Math.min(2 * inputBuffer.length, inputBuffer.length + MAX_GROWTH_BYTES);
            target = new byte[Math.max(MIN_BUFFER_BYTES, Math.max(unread + count, grown))];
        }
        System.arraycopy(inputBuffer, inputStart, target, 0, unread);
        inputBuffer = target;
        inputStart = 0;
        inputEnd = unread;
    }

    private void releaseIfEmpty() {
        if (inputStart == inputEnd) {
            inputStart = 0;
            inputEnd = 0;
            if (inputBuffer.length > MAX_IDLE_BUFFER_BYTES) {
                inputBuffer = EMPTY;
            }
        }
    }

    // ---- Input -------------------------------------------------------------------------------------
    /** Bytes of input that are not consumed yet. */
    public int available() {
        return inputEnd - inputStart;
    }

    /** The byte at an offset into the {@link #available} input; does not consume it. */
    public byte peek(int offset) {
        return inputBuffer[inputStart + offset];
    }

    /** Consumes so many bytes of the {@link #available} input. */
    public void skip(int count) {
        inputStart += count;
        releaseIfEmpty();
    }

    /** Consumes and returns so many bytes of the {@link #available} input. */
    public byte[] readBytes(int count) {
        byte[] bytes = Arrays.copyOfRange(inputBuffer, inputStart, inputStart + count);
        skip(count);
        return bytes;
    }

    /** A part of the {@link #available} input as ISO 8859-1, one character a byte; does not consume it. */
    public String peekText(int offset, int length) {
        return new String(inputBuffer, inputStart + offset, length, StandardCharsets.ISO_8859_1);
    }

    /** Whether the peer will send no more than what is {@link #available}. */
    public boolean isInputEnded() {
        return inputEnded;
    }

    // ---- Output ------------------------------------------------------------------------------------
    /** Sends an array, which must not be changed afterwards; see {@link #write(ByteBuffer)}. */
    public void write(byte[] bytes) {
        write(ByteBuffer.wrap(bytes));
    }

    /**
     * Sends a buffer, now or once the kernel takes it. The buffer is not copied. A failure reaches the handler's
     * {@code onClosed} in a later turn; on a closed connection the bytes are dropped.
     */
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
            int count = socket.write(first);
            sentBytes += count;
            queuedBytes -= count;
            if (first.hasRemaining()) {
                break;
            }
            outputQueue.poll();
        }
        updateInterest();
    }

    /** Bytes that the kernel has taken since the connection was opened. */
    public long sentBytes() {
        return sentBytes;
    }

    /** Bytes that were written and the kernel has not taken yet. */
    public long queuedBytes() {
        return queuedBytes;
    }

    /** Pauses or resumes reading; while it is paused, TCP's flow control slows the peer down. */
    public void setReadPaused(boolean paused) {
        readPaused = paused;
        updateInterest();
    }

    private void updateInterest() {
        if (connected && !closed) {
            socket.setInterest(!inputEnded && !readPaused, queuedBytes > 0);
        }
    }

    // ---- Closing -----------------------------------------------------------------------------------
    /** Closes both directions and drops what is queued; the handler is not called any more. */
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
                // closed either way
            }
        }
    }

    /** Ends the output; the input stays open, and the peer reads the end of the stream. */
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
