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
 * handler consumes it. Output that the kernel does not accept immediately is queued, so a handler that forwards data
 * must apply back-pressure: it watches {@link #queuedBytes} and pauses its source. Not thread-safe; all methods must be
 * called on the reactor's thread.
 *
 * <p>Both buffers, and what the handler retains ({@link #setRetainedBytes}), count toward the {@link BufferBudget} of
 * the process. The connection fails if it is the largest one when the budget is exceeded.
 *
 * <p>A connection is connecting, connected or closed. The input may end before the connection is closed, because the
 * peer may shut down only its output ({@link #isInputEnded}).
 */
public final class Connection implements Environment.ReadinessHandler, BufferBudget.BufferOwner {
    private static final byte[] EMPTY = {};
    private static final int MIN_BUFFER_BYTES = 1024;
    /** A larger input buffer is released once it is empty, because most connections are idle most of the time. */
    private static final int MAX_IDLE_BUFFER_BYTES = 4 * MIN_BUFFER_BYTES;
    /**
     * The largest step by which the input buffer grows, in bytes. Below it the buffer doubles; the limit keeps a long
     * body from reserving twice its size.
     */
    private static final int MAX_GROWTH_BYTES = 64 * 1024;

    /** Receives the events of a connection on the reactor's thread. */
    public interface ConnectionHandler {

        /** Called when a connection that this process opened is established. */
        default void onConnected() {}

        /**
         * Called when input has arrived or the peer has ended the input ({@link #isInputEnded}).
         *
         * @throws IOException if the connection cannot be used any longer; it is then closed and {@link #onClosed} is
         *                     called
         */
        void onInput() throws IOException;

        /** Called when the kernel has accepted all queued output. */
        default void onFlushed() throws IOException {}

        /**
         * Called when the connection has failed or could not be established: at most once, and never after
         * {@link #close()}.
         */
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
    /** Size of the buffers in the output queue, including what was sent of the first one. */
    private long outputBufferBytes;

    private long retainedBytes;
    private long sentBytes;
    private final BufferBudget.Account bufferAccount;

    private Connection(Reactor reactor, Environment.TcpSocket socket) {
        this.reactor = reactor;
        this.socket = socket;
        bufferAccount = reactor.bufferBudget().openAccount(this);
    }

    /** Wraps an accepted socket; the caller must set the handler of the connection. */
    static Connection ofAccepted(Reactor reactor, Environment.TcpSocket socket) throws IOException {
        Connection connection = new Connection(reactor, socket);
        connection.connected = true;
        socket.setHandler(reactor.guard(connection));
        return connection;
    }

    /**
     * Opens a connection. The handler is notified in a later iteration of the event loop, when the connection is
     * established or has failed.
     *
     * @param localAddress the local address to bind, or null for any
     * @throws IOException if the attempt fails immediately, for example because no file descriptor is left
     */
    public static Connection connect(
            Reactor reactor, InetSocketAddress remoteAddress, InetSocketAddress localAddress, ConnectionHandler handler)
            throws IOException {
        Environment.TcpSocket socket = reactor.environment().connect(remoteAddress, localAddress);
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

    /** Replaces the handler that receives the events of this connection. */
    public void setHandler(ConnectionHandler newHandler) {
        handler = newHandler;
    }

    /** Returns the peer's address as text for log lines. */
    public String remoteAddress() {
        return socket.remoteAddress();
    }

    /** Returns whether this connection is connecting or connected. */
    public boolean isOpen() {
        return !closed;
    }

    /** Returns whether this connection is established and not closed. */
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
            reportBufferBytes();
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

    /** Reads from the socket once and returns the result of that read: a number of bytes, or -1 at the end. */
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
     * Returns whether the peer has ended its output or reset the connection. Reads the socket, because the selector may
     * not have reported the event yet; the handler is notified of the input that this reads in a later iteration of the
     * event loop. While reading is paused, the socket is not read, so an end behind unread input is not detected.
     */
    public boolean pollInputEnded() {
        if (closed || inputEnded) {
            return true;
        } else if (readPaused || !connected) {
            return false;
        }
        try {
            int count = fillBuffer();
            boolean inputArrived = count != 0;
            while (count > 0 && available() < MAX_GROWTH_BYTES) {
                count = fillBuffer();
            }
            if (inputArrived) {
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
     * Returns whether the connection may carry another request: it is open and has no unsolicited input. Reads the
     * socket, because the selector may not have reported the latest input yet. Any input makes the connection unusable,
     * so the bytes are discarded.
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

    /**
     * Ensures that {@code count} bytes fit after {@link #inputEnd}, by moving the unread input to the front of the
     * buffer or to a larger one.
     */
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
        boolean grows = target != inputBuffer;
        inputBuffer = target;
        inputStart = 0;
        inputEnd = unread;
        if (grows) {
            reportBufferBytes();
        }
    }

    private void releaseIfEmpty() {
        if (inputStart == inputEnd) {
            inputStart = 0;
            inputEnd = 0;
            if (inputBuffer.length > MAX_IDLE_BUFFER_BYTES) {
                inputBuffer = EMPTY;
                reportBufferBytes();
            }
        }
    }

    // ---- Budget ------------------------------------------------------------------------------------
    /** Returns the budget that the buffers of this connection count toward. */
    public BufferBudget bufferBudget() {
        return reactor.bufferBudget();
    }

    /** Sets the size of what the handler retains for this connection, in bytes; 0 once the connection is closed. */
    public void setRetainedBytes(long bytes) {
        if (!closed && bytes != retainedBytes) {
            retainedBytes = bytes;
            reportBufferBytes();
        }
    }

    private void reportBufferBytes() {
        bufferAccount.report(closed ? 0 : inputBuffer.length + outputBufferBytes + retainedBytes);
    }

    @Override
    public void onBudgetExceeded() {
        reactor.debug("connection to " + remoteAddress() + " closed: it holds " + bufferAccount.bytes()
                + " bytes, the most of all");
        onFailure(new IOException("the buffers of this process are full"));
    }

    // ---- Input -------------------------------------------------------------------------------------
    /** Returns the number of input bytes that have arrived and are not consumed yet. */
    public int available() {
        return inputEnd - inputStart;
    }

    /** Returns the byte at an offset into the {@link #available} input without consuming it. */
    public byte peek(int offset) {
        return inputBuffer[inputStart + offset];
    }

    /** Consumes {@code count} bytes of the {@link #available} input. */
    public void skip(int count) {
        inputStart += count;
        releaseIfEmpty();
    }

    /** Consumes and returns {@code count} bytes of the {@link #available} input. */
    public byte[] readBytes(int count) {
        byte[] bytes = Arrays.copyOfRange(inputBuffer, inputStart, inputStart + count);
        skip(count);
        return bytes;
    }

    /** Decodes a range of the {@link #available} input as ISO 8859-1, one character per byte, without consuming it. */
    public String peekText(int offset, int length) {
        return new String(inputBuffer, inputStart + offset, length, StandardCharsets.ISO_8859_1);
    }

    /** Returns whether the peer has ended its output, so that only the {@link #available} bytes remain to be read. */
    public boolean isInputEnded() {
        return inputEnded;
    }

    // ---- Output ------------------------------------------------------------------------------------
    /** Sends an array, which the caller must not modify afterwards; see {@link #write(ByteBuffer)}. */
    public void write(byte[] bytes) {
        write(ByteBuffer.wrap(bytes));
    }

    /**
     * Sends a buffer immediately, or queues it until the kernel accepts it. The buffer is not copied. A failure is
     * reported to the handler's {@code onClosed} in a later iteration of the event loop. On a closed connection the
     * bytes are discarded.
     */
    public void write(ByteBuffer bytes) {
        if (closed) {
            return;
        }
        queuedBytes += bytes.remaining();
        outputBufferBytes += bytes.capacity();
        outputQueue.add(bytes);
        if (connected && outputQueue.size() == 1) {
            try {
                flush();
            } catch (IOException e) {
                reactor.execute(() -> onFailure(e));
            }
        }
        if (!outputQueue.isEmpty()) {
            reportBufferBytes();
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
            outputBufferBytes -= first.capacity();
        }
        updateInterest();
    }

    /** Returns the number of bytes that the kernel has accepted since the connection was opened. */
    public long sentBytes() {
        return sentBytes;
    }

    /** Returns the number of bytes that were written but that the kernel has not accepted yet. */
    public long queuedBytes() {
        return queuedBytes;
    }

    /** Pauses or resumes reading. While reading is paused, TCP flow control slows the peer down. */
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
    /** Closes both directions and discards queued output and unread input. The handler is not called any more. */
    public void close() {
        if (!closed) {
            closed = true;
            outputQueue.clear();
            queuedBytes = 0;
            outputBufferBytes = 0;
            retainedBytes = 0;
            bufferAccount.report(0);
            inputBuffer = EMPTY;
            inputStart = 0;
            inputEnd = 0;
            try {
                socket.close();
            } catch (IOException e) {
                // the connection counts as closed even if closing the socket failed
            }
        }
    }

    /** Shuts down the output, so that the peer reads the end of the stream. The input stays open. */
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
