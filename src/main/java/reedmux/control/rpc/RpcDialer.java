package reedmux.control.rpc;

import java.io.IOException;
import java.net.InetSocketAddress;
import reedmux.common.eventloop.Reactor;
import reedmux.control.rpc.Messages.Hello;

/**
 * Keeps a connection to one address established: whenever it ends, or could not be opened, another one is opened after
 * a delay, until the dialer is closed. For the reactor's thread.
 */
public final class RpcDialer implements RpcConnection.RpcConnectionHandler {
    /** The first retries are fast, as programs that start together are up at about the same time. */
    private static final long FAST_RETRY_DELAY_MICROS = 30_000;

    private static final long SLOW_RETRY_DELAY_MICROS = 200_000;
    private static final int FAST_RETRIES = 20;

    /**
     * A machine without power does not refuse the connection, and TCP would repeat its first packet only after a
     * second; so much sooner a new connection is opened in its place.
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
     * Opens the first connection.
     *
     * @param handler is called for each connection that is established
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

    /** The address that this dialer connects to. */
    public InetSocketAddress address() {
        return address;
    }

    /** The connection if it is established, else null. */
    public RpcConnection connection() {
        return connection != null && connection.isEstablished() ? connection : null;
    }

    /** Whether at least one attempt has succeeded or failed. */
    public boolean hasAttempted() {
        return attempted;
    }

    /** Closes the connection and opens no other one. */
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
