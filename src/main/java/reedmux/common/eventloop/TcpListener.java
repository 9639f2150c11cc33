package reedmux.common.eventloop;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/**
 * Accepts connections on a local address. If the process has no file descriptor left, accepting is paused: established
 * connections are still served, and new ones wait in the backlog. All methods must be called on the reactor's thread.
 */
public final class TcpListener implements Environment.ReadinessHandler {
    private static final int BACKLOG = 512;
    /** Limits the connections accepted per readiness event, so that a burst of them does not delay timers. */
    private static final int MAX_ACCEPTS_PER_TURN = 64;
    /** Time in microseconds for which accepting is paused when no file descriptor is left. */
    private static final long ACCEPT_PAUSE_MICROS = 50_000;

    private final Reactor reactor;
    private final Environment.TcpServerSocket socket;
    private final Consumer<Connection> acceptedHandler;

    /**
     * Starts to listen on an address.
     *
     * @param acceptedHandler receives each accepted connection and must set its handler before returning
     * @throws IOException if the address cannot be bound
     */
    public TcpListener(Reactor reactor, InetSocketAddress address, Consumer<Connection> acceptedHandler)
            throws IOException {
        this.reactor = reactor;
        this.acceptedHandler = acceptedHandler;
        socket = reactor.environment().listen(address, BACKLOG);
        socket.setHandler(reactor.guard(this));
    }

    /** Returns the bound address, with the port that the system assigned if port 0 was requested. */
    public InetSocketAddress address() throws IOException {
        return socket.localAddress();
    }

    @Override
    public void onReady(boolean readable, boolean writable) throws IOException {
        for (int i = 0; i < MAX_ACCEPTS_PER_TURN; i++) {
            Environment.TcpSocket accepted;
            try {
                accepted = socket.accept();
            } catch (IOException e) { // no file descriptor left
                reactor.info("cannot accept: " + e.getMessage());
                pauseAccepting();
                return;
            }
            if (accepted == null) {
                return;
            }
            try {
                acceptedHandler.accept(Connection.ofAccepted(reactor, accepted));
            } catch (IOException e) { // the peer reset the connection before it was accepted
                accepted.close();
            }
        }
    }

    private void pauseAccepting() {
        socket.setAcceptEnabled(false);
        reactor.scheduleAfter(ACCEPT_PAUSE_MICROS, () -> socket.setAcceptEnabled(true));
    }

    /** Stops listening. Accepted connections stay open. */
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            reactor.info("cannot close the TCP listener: " + e.getMessage());
        }
    }

    @Override
    public void onFailure(Exception cause) {
        reactor.info("TCP listener failed: " + cause.getMessage());
    }
}
