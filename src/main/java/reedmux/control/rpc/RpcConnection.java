package reedmux.control.rpc;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import reedmux.common.eventloop.Connection;
import reedmux.common.eventloop.Reactor;
import reedmux.control.rpc.Messages.Hello;
import reedmux.control.rpc.Messages.KeepAlive;

/**
 * A connection between two processes of the system. It carries frames: a length in four bytes, and a message as
 * {@link MessageCodec} encodes it.
 *
 * <ol>
 *   <li>Connecting: from {@link #connect} until TCP is connected. An accepted connection starts behind this.
 *   <li>Handshake: each side sends its {@link Hello} at once. Until the peer's has come, no other message is taken.
 *   <li>Established: the handler is told, and gets each message. A side that has nothing else to send for
 *       {@link #KEEP_ALIVE_INTERVAL_MICROS} sends a {@link KeepAlive}, and one that has received nothing for
 *       {@link #RECEIVE_TIMEOUT_MICROS} closes the connection.
 *   <li>Closed: by either side, a time-out, or bytes that are no valid message. There is no way back.
 * </ol>
 *
 * <p>For the reactor's thread.
 */
public final class RpcConnection implements Connection.ConnectionHandler {
    /** An established connection is closed after so long without anything received: three intervals, and some more. */
    public static final long RECEIVE_TIMEOUT_MICROS = 2_200_000;

    static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;
    private static final int LENGTH_PREFIX_BYTES = 4;
    /** Before the handshake is over anybody may be at the other end, and no more than this is buffered. */
    private static final int MAX_HELLO_BYTES = 64 * 1024;

    private static final long KEEP_ALIVE_INTERVAL_MICROS = 700_000;
    /** More than this in the output queue means that the peer does not read. */
    private static final long MAX_QUEUED_BYTES = 32L * 1024 * 1024;

    /** Receives the events of a connection. */
    public interface RpcConnectionHandler {

        /** The handshake is over: {@link RpcConnection#peer} says who is at the other end. */
        void onConnected(RpcConnection connection);

        /** A message has come on an established connection. */
        void onMessage(RpcConnection connection, Object message);

        /** The connection is closed; called once, also for one that was never established. */
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
    /** What the handler keeps with the connection. */
    private Object attachment;

    private RpcConnection(Reactor reactor, MessageCodec codec, Hello localHello, RpcConnectionHandler handler) {
        this.reactor = reactor;
        this.codec = codec;
        this.localHello = localHello;
        this.handler = handler;
        lastReceivedMicros = reactor.now();
        scheduleKeepAlive();
    }

    /** Takes over a connection that the peer has opened. */
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
     * Opens a connection to a peer; returns before it is connected.
     *
     * @throws IOException if no socket can be opened
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
     * Whether the peer has timed this connection out, too, so that what is still buffered here is obsolete. A process
     * that was suspended may read input before its timers run, so every input checks it.
     */
    private boolean isTimedOut() {
        return reactor.now() - lastReceivedMicros > RECEIVE_TIMEOUT_MICROS;
    }

    /** When anything was last received, by the reactor's clock in microseconds; before that, when it was opened. */
    public long lastReceivedMicros() {
        return lastReceivedMicros;
    }

    /** Who is at the other end; null before the connection is established. */
    public Hello peer() {
        return peer;
    }

    /** Whether TCP is not connected yet. */
    public boolean isConnecting() {
        return !closed && !connection.isConnected();
    }

    /** Whether the handshake is over, and the connection neither closed nor timed out. */
    public boolean isEstablished() {
        return peer != null && !closed && !isTimedOut();
    }

    /** What the handler has attached, or null; the caller knows its type. */
    @SuppressWarnings("unchecked")
    public <T> T attachment() {
        return (T) attachment;
    }

    /** Attaches what the handler wants to keep with this connection. */
    public void attachment(Object value) {
        attachment = value;
    }

    @Override
    public void onConnected() {
        sendMessage(localHello);
    }

    /** Sends a message; without effect on a closed connection. */
    public void sendMessage(Object message) {
        if (closed) {
            return;
        }
        sendEncoded(codec.encode(message));
    }

    /** Sends a message that is encoded already, as it goes to many; without effect on a closed connection. */
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
                closeOnProtocolError("a length of " + length + " is no frame's", "");
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

    /** Returns the frame length that the input starts with, in the order of the network. */
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
                    "a frame of " + frame.length + " bytes of kind " + frame[0] + " cannot be read",
                    ": " + e.getMessage());
            return;
        }
        dispatch(message);
    }

    private void dispatch(Object message) {
        if (message instanceof Hello hello && peer == null && hello.formatVersion() == Messages.FORMAT_VERSION) {
            peer = hello;
            reactor.debug("connection with " + hello.program() + " of " + hello.node() + " is established");
            handler.onConnected(this);
        } else if (peer == null && message instanceof Hello hello) {
            closeOnProtocolError(
                    hello.program() + " of " + hello.node() + " speaks form " + hello.formatVersion() + ", here "
                            + Messages.FORMAT_VERSION,
                    "");
        } else if (peer == null) {
            closeOnProtocolError("a message before it said who it is", "");
        } else if (message instanceof Hello) {
            closeOnProtocolError("it says again who it is", "");
        } else if (!(message instanceof KeepAlive)) {
            handler.onMessage(this, message);
        }
    }

    /**
     * Closes this connection alone, with a warning.
     *
     * @param problem what the rate limit of the warnings goes by, together with the peer
     * @param detail what is logged behind it
     */
    private void closeOnProtocolError(String problem, String detail) {
        String sender = peer == null ? "somebody" : peer.program() + " of " + peer.node();
        reactor.warnRateLimited(
                sender + problem,
                "connection with " + sender + " at " + connection.remoteAddress() + " is closed: " + problem + detail);
        close();
    }

    @Override
    public void onClosed(String reason) {
        close();
    }

    /** Closes the connection and tells its handler; without effect on a closed one. */
    public void close() {
        if (!closed) {
            closed = true;
            if (peer != null) {
                reactor.debug("connection with " + peer.program() + " of " + peer.node() + " is closed");
            }
            if (connection != null) {
                connection.close();
            }
            handler.onDisconnected(this);
        }
    }
}
