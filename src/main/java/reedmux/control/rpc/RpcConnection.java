package reedmux.control.rpc;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import reedmux.common.eventloop.Connection;
import reedmux.common.eventloop.Reactor;
import reedmux.control.rpc.Messages.Hello;
import reedmux.control.rpc.Messages.KeepAlive;

/**
 * A connection between two processes of the system. It transports frames, each consisting of a four-byte length and a
 * message encoded by {@link MessageCodec}. A connection passes through these states:
 *
 * <ol>
 *   <li>Connecting: from {@link #connect} until TCP is connected. An accepted connection skips this state.
 *   <li>Handshake: each side sends its {@link Hello} immediately. Any other message received before the peer's Hello is
 *       a protocol error.
 *   <li>Established: the handler is notified and receives every message other than keep-alives. A side that has sent
 *       nothing for {@link #KEEP_ALIVE_INTERVAL_MICROS} sends a {@link KeepAlive}. A side that has received nothing for
 *       {@link #RECEIVE_TIMEOUT_MICROS} closes the connection.
 *   <li>Closed: by either side, by a timeout, or because of an invalid message. This state is final.
 * </ol>
 *
 * <p>Not thread-safe; confined to the reactor thread.
 */
public final class RpcConnection implements Connection.ConnectionHandler {
    /**
     * Time without any input after which a connection is closed, in microseconds: three keep-alive intervals and a
     * margin.
     */
    public static final long RECEIVE_TIMEOUT_MICROS = 2_200_000;

    static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;
    private static final int LENGTH_PREFIX_BYTES = 4;
    /**
     * Maximum length of a frame until the handshake is complete. The peer is unknown until then, so no more than this
     * is buffered for it.
     */
    private static final int MAX_HELLO_BYTES = 64 * 1024;

    private static final long KEEP_ALIVE_INTERVAL_MICROS = 700_000;
    /** Maximum size of the output queue; a connection that exceeds it is closed, because the peer is not reading. */
    private static final long MAX_QUEUED_BYTES = 32L * 1024 * 1024;

    /** Receives the events of a connection. */
    public interface RpcConnectionHandler {

        /** Called when the handshake is complete; {@link RpcConnection#peer} identifies the peer from then on. */
        void onConnected(RpcConnection connection);

        /** Called for each message received after the handshake, except keep-alives. */
        void onMessage(RpcConnection connection, Object message);

        /** Called exactly once when the connection is closed, even if it was never established. */
        void onDisconnected(RpcConnection connection);
    }

    private final Reactor reactor;
    private final MessageCodec codec;
    private final Hello localHello;
    private final RpcConnectionHandler handler;
    private Connection connection;
    private Hello peer;
    private boolean closed;
    private long lastReceivedMicros;
    private long lastSentMicros;
    /** State that the handler associates with the connection. */
    private Object attachment;

    private RpcConnection(Reactor reactor, MessageCodec codec, Hello localHello, RpcConnectionHandler handler) {
        this.reactor = reactor;
        this.codec = codec;
        this.localHello = localHello;
        this.handler = handler;
        lastReceivedMicros = reactor.now();
        scheduleKeepAlive();
    }

    /** Creates an RPC connection from a connection that the peer has opened, and starts the handshake. */
    public static RpcConnection accept(
            Reactor reactor,
            MessageCodec codec,
            Hello localHello,
            Connection connection,
            RpcConnectionHandler handler) {
        RpcConnection accepted = new RpcConnection(reactor, codec, localHello, handler);
        accepted.connection = connection;
        connection.setHandler(accepted);
        accepted.onConnected();
        return accepted;
    }

    /**
     * Starts to connect to a peer, and returns before the connection is established.
     *
     * @throws IOException if the socket cannot be opened
     */
    public static RpcConnection connect(
            Reactor reactor,
            MessageCodec codec,
            Hello localHello,
            InetSocketAddress address,
            RpcConnectionHandler handler)
            throws IOException {
        RpcConnection opened = new RpcConnection(reactor, codec, localHello, handler);
        opened.connection = Connection.connect(reactor, address, null, opened);
        return opened;
    }

    private void scheduleKeepAlive() {
        reactor.scheduleAfter(KEEP_ALIVE_INTERVAL_MICROS, () -> {
            if (closed) {
                return;
            }
            if (isTimedOut()) {
                close();
                return;
            }
            boolean idle = reactor.now() - lastSentMicros >= KEEP_ALIVE_INTERVAL_MICROS;
            if (connection != null && connection.isConnected() && idle) {
                sendMessage(new KeepAlive());
            }
            scheduleKeepAlive();
        });
    }

    /**
     * Returns whether nothing was received for {@link #RECEIVE_TIMEOUT_MICROS}. The peer has timed out the connection
     * as well by then, so input that is still buffered here is obsolete. This is checked on every input, because a
     * process that was suspended may read input before its timers run.
     */
    private boolean isTimedOut() {
        return reactor.now() - lastReceivedMicros > RECEIVE_TIMEOUT_MICROS;
    }

    /**
     * Returns the time of the last input, in microseconds of the reactor's clock; the time at which the connection was
     * created if there was no input yet.
     */
    public long lastReceivedMicros() {
        return lastReceivedMicros;
    }

    /** Returns the peer's Hello message; null until the handshake is complete. */
    public Hello peer() {
        return peer;
    }

    /** Returns whether the TCP connection is still being established. */
    public boolean isConnecting() {
        return !closed && !connection.isConnected();
    }

    /** Returns whether the handshake is complete and the connection is neither closed nor timed out. */
    public boolean isEstablished() {
        return peer != null && !closed && !isTimedOut();
    }

    /** Returns the handler's attachment, or null if there is none; the caller must know its type. */
    @SuppressWarnings("unchecked")
    public <T> T attachment() {
        return (T) attachment;
    }

    /** Sets the object that the handler associates with this connection. */
    public void attachment(Object value) {
        attachment = value;
    }

    @Override
    public void onConnected() {
        sendMessage(localHello);
    }

    /** Sends a message; has no effect if the connection is closed. */
    public void sendMessage(Object message) {
        if (closed) {
            return;
        }
        sendEncoded(codec.encode(message));
    }

    /** Sends an encoded message, for example one that is sent to several peers; has no effect if closed. */
    public void sendEncoded(byte[] bytes) {
        if (closed) {
            return;
        }
        lastSentMicros = reactor.now();
        connection.write(ByteBuffer.allocate(LENGTH_PREFIX_BYTES + bytes.length)
                .putInt(bytes.length)
                .put(bytes)
                .flip());
        if (connection.queuedBytes() > MAX_QUEUED_BYTES) {
            reactor.execute(this::close);
        }
    }

    @Override
    public void onInput() {
        if (isTimedOut()) {
            close();
            return;
        }
        lastReceivedMicros = reactor.now();
        while (!closed && connection.available() >= LENGTH_PREFIX_BYTES) {
            int length = peekLength();
            if (length <= 0 || length > MAX_FRAME_BYTES || peer == null && length > MAX_HELLO_BYTES) {
                closeOnProtocolError("frame length " + length + " is invalid", "");
                return;
            } else if (connection.available() < LENGTH_PREFIX_BYTES + length) {
                break;
            }
            connection.skip(LENGTH_PREFIX_BYTES);
            onFrame(connection.readBytes(length));
        }
        if (!closed && connection.isInputEnded()) {
            close();
        }
    }

    /** Returns the frame length at the start of the input, which is in network byte order, without consuming it. */
    private int peekLength() {
        return (connection.peek(0) & 0xFF) << 24
                | (connection.peek(1) & 0xFF) << 16
                | (connection.peek(2) & 0xFF) << 8
                | connection.peek(3) & 0xFF;
    }

    private void onFrame(byte[] frame) {
        Object message;
        try {
            message = codec.decode(frame);
        } catch (MessageDecodingException e) {
            closeOnProtocolError(
                    "frame of " + frame.length + " bytes with message id " + frame[0] + " cannot be decoded",
                    ": " + e.getMessage());
            return;
        }
        dispatch(message);
    }

    private void dispatch(Object message) {
        if (message instanceof Hello hello && peer == null && hello.formatVersion() == Messages.FORMAT_VERSION) {
            peer = hello;
            reactor.debug("connection to " + hello.program() + " on " + hello.node() + " established");
            handler.onConnected(this);
        } else if (peer == null && message instanceof Hello hello) {
            closeOnProtocolError(
                    hello.program() + " on " + hello.node() + " uses format version " + hello.formatVersion()
                            + ", expected " + Messages.FORMAT_VERSION,
                    "");
        } else if (peer == null) {
            closeOnProtocolError("message received before Hello", "");
        } else if (message instanceof Hello) {
            closeOnProtocolError("Hello received after the handshake", "");
        } else if (!(message instanceof KeepAlive)) {
            handler.onMessage(this, message);
        }
    }

    /**
     * Logs a warning and closes this connection; other connections are not affected.
     *
     * @param problem the error; together with the peer it is the key by which warnings are rate-limited
     * @param detail appended to the problem in the log, but not part of the key
     */
    private void closeOnProtocolError(String problem, String detail) {
        String sender = peer == null ? "unidentified peer" : peer.program() + " on " + peer.node();
        reactor.warnRateLimited(
                sender + problem,
                "connection to " + sender + " at " + connection.remoteAddress() + " closed: " + problem + detail);
        close();
    }

    @Override
    public void onClosed(String reason) {
        close();
    }

    /** Closes the connection and notifies the handler; has no effect if it is already closed. */
    public void close() {
        if (!closed) {
            closed = true;
            if (peer != null) {
                reactor.debug("connection to " + peer.program() + " on " + peer.node() + " closed");
            }
            if (connection != null) {
                connection.close();
            }
            handler.onDisconnected(this);
        }
    }
}
