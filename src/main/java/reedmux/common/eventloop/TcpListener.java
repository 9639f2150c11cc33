package reedmux.common.eventloop;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/**
 * Accepts connections at an address. When the process has no file descriptor left it pauses accepting, so that the
 * connections it has are served on and the new ones wait in the backlog. For the reactor's thread.
 */
public final class TcpListener implements Environment.ReadinessHandler {
    private static final int BACKLOG = 512;
    /** Bounds one turn, so that a burst of connections does not delay timers. */
    private static final int MAX_ACCEPTS_PER_TURN = 64;
    /** Before accepting is tried again without a descriptor left. */
    private static final long ACCEPT_PAUSE_MICROS = 50_000;

    private final Reactor reactor;
    private final Environment.TcpServerSocket socket;
    private final Consumer<Connection> acceptedHandler;

    /**
     * Listens at an address.
     *
     * @param acceptedHandler receives each connection and sets its handler before it returns
     * @throws IOException if the address cannot be bound
     */
    public TcpListener(Reactor reactor, InetSocketAddress address, Consumer<Connection> acceptedHandler)
            throws IOException {
        this.reactor = reactor;
        this.acceptedHandler = acceptedHandler;
        socket = reactor.environment().listen(address, BACKLOG);
        socket.setHandler(reactor.guard(this));
    }

    /** The address that is bound, with the port that was chosen for port 0. */
    public InetSocketAddress address() throws IOException {
        return socket.localAddress();
    }

    @Override
    public void onReady(boolean readable, boolean writable) throws IOException {
        for (int i = 0; i < MAX_ACCEPTS_PER_TURN; i++) {
            Environment.TcpSocket accepted;
            try {
                accepted = socket.accept();
            } catch (IOException e) { // no descriptor left
                reactor.info("cannot accept: " + e.getMessage());
                pauseAccepting();
                return;
            }
            if (accepted == null) {
                return;
            }
            try {
                acceptedHandler.accept(Connection.ofAccepted(reactor, accepted));
            } catch (IOException e) { // reset by the peer before it was accepted
                accepted.close();
            }
        }
    }

    private void pauseAccepting() {
        socket.setAcceptEnabled(false);
        reactor.scheduleAfter(ACCEPT_PAUSE_MICROS, () -> socket.setAcceptEnabled(true));
    }

    /** Stops listening; accepted connections stay open. */
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            reactor.info("listener: " + e.getMessage());
        }
    }

    @Override
    public void onFailure(Exception cause) {
        reactor.info("listener: " + cause.getMessage());
    }
}
