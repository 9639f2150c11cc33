package reedmux.control.rpc;

import java.io.IOException;
import java.net.InetSocketAddress;
import reedmux.common.eventloop.Reactor;
import reedmux.control.rpc.Messages.Hello;

/**
 * Maintains a connection to one address. If the connection is closed or cannot be opened, the dialer reconnects after a
 * delay, until it is closed itself.
 *
 * <p>Not thread-safe; confined to the reactor thread.
 */
public final class RpcDialer implements RpcConnection.RpcConnectionHandler {
    /**
     * Delay before each of the first {@link #FAST_RETRIES} retries, in microseconds. It is short because programs that
     * are started together become available at about the same time.
     */
    private static final long FAST_RETRY_DELAY_MICROS = 30_000;

    private static final long SLOW_RETRY_DELAY_MICROS = 200_000;
    private static final int FAST_RETRIES = 20;

    /**
     * Time limit for establishing a TCP connection, in microseconds. A machine without power does not refuse the
     * connection, and TCP retransmits its first packet only after one second; this much shorter time limit replaces the
     * connection with a new attempt earlier.
     */
    private static final long CONNECT_TIMEOUT_MICROS = 300_000;

    private final Reactor reactor;
    private final MessageCodec codec;
    private final Hello localHello;
    private final InetSocketAddress address;
    private final RpcConnection.RpcConnectionHandler handler;
    private RpcConnection connection;
    private int failedAttempts;
    private boolean attempted;
    private boolean closed;

    /**
     * Creates a dialer and starts to connect.
     *
     * @param handler receives the events of every connection that completes the handshake
     */
    public RpcDialer(
            Reactor reactor,
            MessageCodec codec,
            Hello localHello,
            InetSocketAddress address,
            RpcConnection.RpcConnectionHandler handler) {
        this.reactor = reactor;
        this.codec = codec;
        this.localHello = localHello;
        this.address = address;
        this.handler = handler;
        connect();
    }

    /** Returns the address that this dialer connects to. */
    public InetSocketAddress address() {
        return address;
    }

    /** Returns the connection if it is established, otherwise null. */
    public RpcConnection connection() {
        return connection != null && connection.isEstablished() ? connection : null;
    }

    /** Returns whether at least one connection attempt has succeeded or failed. */
    public boolean hasAttempted() {
        return attempted;
    }

    /** Closes the connection and stops reconnecting. */
    public void close() {
        closed = true;
        if (connection != null) {
            connection.close();
        }
    }

    private void connect() {
        if (closed) {
            return;
        }
        try {
            RpcConnection opened = RpcConnection.connect(reactor, codec, localHello, address, this);
            connection = opened;
            reactor.scheduleAfter(CONNECT_TIMEOUT_MICROS, () -> {
                if (opened.isConnecting()) {
                    opened.close();
                }
            });
        } catch (IOException e) {
            scheduleReconnect();
        }
    }

    private void scheduleReconnect() {
        connection = null;
        attempted = true;
        failedAttempts++;
        boolean fast = failedAttempts <= FAST_RETRIES;
        reactor.scheduleAfter(fast ? FAST_RETRY_DELAY_MICROS : SLOW_RETRY_DELAY_MICROS, this::connect);
    }

    @Override
    public void onConnected(RpcConnection established) {
        failedAttempts = 0;
        attempted = true;
        handler.onConnected(established);
    }

    @Override
    public void onMessage(RpcConnection sender, Object message) {
        handler.onMessage(sender, message);
    }

    @Override
    public void onDisconnected(RpcConnection ended) {
        boolean wasEstablished = ended.peer() != null;
        scheduleReconnect();
        if (wasEstablished) {
            handler.onDisconnected(ended);
        }
    }
}
