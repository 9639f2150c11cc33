package reedmux.control.rpc;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import reedmux.common.eventloop.Connection;
import reedmux.common.eventloop.Reactor;
import reedmux.control.rpc.Messages.Hello;
import reedmux.control.rpc.Messages.KeepAlive;

/**
 * A connection between two of the system's own processes: frames of a length and a message. Each side says
 * something at least each {@link #KEEP_ALIVE_INTERVAL_MICROS}, and one that is silent for
 * {@link #RECEIVE_TIMEOUT_MICROS} is given up.
 */
public final class RpcConnection implements Connection.ConnectionHandler {
    static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;
    private static final int LENGTH_PREFIX_BYTES = 4;
    /** Of whoever has not said who it is no more than this is taken in. */
    private static final int MAX_HELLO_BYTES = 64 * 1024;

    private static final long KEEP_ALIVE_INTERVAL_MICROS = 700_000;
    public static final long RECEIVE_TIMEOUT_MICROS = 2_200_000;
    /** More than this that waits to go out means that the other side does not read. */
    private static final long MAX_QUEUED_BYTES = 32L * 1024 * 1024;

    /** Whom a link's events are told. */
    public interface RpcConnectionHandler {

        /** The other side has said who it is. */
        void onConnected(RpcConnection link);

        void onMessage(RpcConnection link, Object message);

        /** It is gone; told once, also of one that was never up. */
        void onDisconnected(RpcConnection link);
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
    /** What the owner keeps with it. */
    private Object attachment;

    private RpcConnection(Reactor reactor, MessageCodec codec, Hello self, RpcConnectionHandler owner) {
        this.reactor = reactor;
        this.codec = codec;
        this.localHello = self;
        this.handler = owner;
        lastReceivedMicros = reactor.now();
        scheduleKeepAlive();
    }

    /** One that somebody else has opened. */
    public static RpcConnection accept(
            Reactor reactor, MessageCodec codec, Hello self, Connection wire, RpcConnectionHandler owner) {
        RpcConnection link = new RpcConnection(reactor, codec, self, owner);
        link.connection = wire;
        wire.setHandler(link);
        link.onConnected();
        return link;
    }

    public static RpcConnection connect(
            Reactor reactor, MessageCodec codec, Hello self, InetSocketAddress to, RpcConnectionHandler owner)
            throws IOException {
        RpcConnection link = new RpcConnection(reactor, codec, self, owner);
        link.connection = Connection.connect(reactor, to, null, link);
        return link;
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
            if (connection != null
                    && connection.isConnected()
                    && reactor.now() - lastSentMicros >= KEEP_ALIVE_INTERVAL_MICROS) {
                sendMessage(new KeepAlive());
            }
            scheduleKeepAlive();
        });
    }

    /**
     * Whether the other side has given us up, so that what waits here was said in another time: a process
     * that was frozen finds it before its timers run.
     */
    private boolean isTimedOut() {
        return reactor.now() - lastReceivedMicros > RECEIVE_TIMEOUT_MICROS;
    }

    /** When the other side was heard last. */
    public long lastReceivedMicros() {
        return lastReceivedMicros;
    }

    /** Who is at the other end; null before it is up. */
    public Hello peer() {
        return peer;
    }

    /** Whether the connection itself has not come up yet. */
    public boolean isConnecting() {
        return !closed && !connection.isConnected();
    }

    public boolean isEstablished() {
        return peer != null && !closed && !isTimedOut();
    }

    @SuppressWarnings("unchecked")
    public <T> T attachment() {
        return (T) attachment;
    }

    public void attachment(Object kept) {
        attachment = kept;
    }

    @Override
    public void onConnected() {
        sendMessage(localHello);
    }

    public void sendMessage(Object message) {
        if (closed) {
            return;
        }
        sendEncoded(codec.encode(message));
    }

    /** Says a message that has been written already, as it goes to many. */
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
            int length = (connection.peek(0) & 0xFF) << 24
                    | (connection.peek(1) & 0xFF) << 16
                    | (connection.peek(2) & 0xFF) << 8
                    | connection.peek(3) & 0xFF;
            if (length <= 0 || length > MAX_FRAME_BYTES || peer == null && length > MAX_HELLO_BYTES) {
                closeOnProtocolError("a length of " + length + " is no frame's");
                return;
            } else if (connection.available() < LENGTH_PREFIX_BYTES + length) {
                break;
            }
            connection.skip(LENGTH_PREFIX_BYTES);
            byte[] frame = connection.readBytes(length);
            Object message = codec.decodeOrNull(frame);
            if (message == null) {
                closeOnProtocolError("a frame of " + length + " bytes of kind " + frame[0] + " cannot be read");
                return;
            }
            dispatch(message);
        }
        if (!closed && connection.isInputEnded()) {
            close();
        }
    }

    private void dispatch(Object message) {
        if (message instanceof Hello hello && peer == null && hello.formatVersion() == Messages.FORMAT_VERSION) {
            peer = hello;
            reactor.debug("link with " + hello.program() + " of " + hello.node() + " is up");
            handler.onConnected(this);
        } else if (peer == null && message instanceof Hello hello) {
            closeOnProtocolError(hello.program() + " of " + hello.node() + " speaks form " + hello.formatVersion()
                    + ", here " + Messages.FORMAT_VERSION);
        } else if (peer == null || message instanceof Hello) {
            closeOnProtocolError(peer == null ? "a message before it said who it is" : "it says again who it is");
        } else if (!(message instanceof KeepAlive)) {
            handler.onMessage(this, message);
        }
    }

    /** What has come cannot be acted on: a line for operators, and the end of this link alone. */
    private void closeOnProtocolError(String what) {
        String who = peer == null ? "somebody" : peer.program() + " of " + peer.node();
        reactor.warnRateLimited(
                who + what, "link with " + who + " at " + connection.remoteAddress() + " is ended: " + what);
        close();
    }

    @Override
    public void onClosed(String why) {
        close();
    }

    /** Ends it; its owner is told. */
    public void close() {
        if (!closed) {
            closed = true;
            if (peer != null) {
                reactor.debug("link with " + peer.program() + " of " + peer.node() + " is down");
            }
            if (connection != null) {
                connection.close();
            }
            handler.onDisconnected(this);
        }
    }
}
