package reedmux.control.rpc;

import java.io.IOException;
import java.net.InetSocketAddress;
import reedmux.common.eventloop.Reactor;
import reedmux.control.rpc.Messages.Hello;

/** Keeps a link to one address up, as far as that can be had. */
public final class RpcDialer implements RpcConnection.RpcConnectionHandler {
    /** Between the first tries, so that who starts together with us is met soon, and between later ones. */
    private static final long FAST_RETRY_DELAY_MICROS = 30_000;

    private static final long SLOW_RETRY_DELAY_MICROS = 200_000;
    private static final int FAST_RETRIES = 20;
    /** A connection that is not up by then has met a machine without power: its first packet is lost. */
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

    public RpcDialer(
            Reactor reactor,
            MessageCodec codec,
            Hello self,
            InetSocketAddress to,
            RpcConnection.RpcConnectionHandler owner) {
        this.reactor = reactor;
        this.codec = codec;
        this.localHello = self;
        this.address = to;
        this.handler = owner;
        connect();
    }

    public InetSocketAddress address() {
        return address;
    }

    /** The link if it is up, else null. */
    public RpcConnection connection() {
        return connection != null && connection.isEstablished() ? connection : null;
    }

    /** Whether at least one try has come to an end. */
    public boolean hasAttempted() {
        return attempted;
    }

    /** Ends the link for good. */
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
            RpcConnection made = RpcConnection.connect(reactor, codec, localHello, address, this);
            connection = made;
            reactor.scheduleAfter(CONNECT_TIMEOUT_MICROS, () -> {
                if (made.isConnecting()) {
                    made.close();
                }
            });
        } catch (IOException e) {
            scheduleReconnect();
        }
    }

    private void scheduleReconnect() {
        connection = null;
        attempted = true;
        reactor.scheduleAfter(
                ++failedAttempts <= FAST_RETRIES ? FAST_RETRY_DELAY_MICROS : SLOW_RETRY_DELAY_MICROS, this::connect);
    }

    @Override
    public void onConnected(RpcConnection up) {
        failedAttempts = 0;
        attempted = true;
        handler.onConnected(up);
    }

    @Override
    public void onMessage(RpcConnection from, Object message) {
        handler.onMessage(from, message);
    }

    @Override
    public void onDisconnected(RpcConnection gone) {
        boolean was = gone.peer() != null;
        scheduleReconnect();
        if (was) {
            handler.onDisconnected(gone);
        }
    }
}
