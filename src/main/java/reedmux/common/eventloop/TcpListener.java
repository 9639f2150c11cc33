package reedmux.common.eventloop;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Takes in connections at an address, as long as there is room for them. */
public final class TcpListener implements Environment.ReadinessHandler {
    private static final int BACKLOG = 512;
    private static final int MAX_ACCEPTS_PER_TURN = 64;
    private static final long ACCEPT_PAUSE_MICROS = 50_000;
    private final Reactor reactor;
    private final Environment.TcpServerSocket socket;
    private final Consumer<Connection> acceptedHandler;

    public TcpListener(Reactor reactor, InetSocketAddress address, Consumer<Connection> taken) throws IOException {
        this.reactor = reactor;
        this.acceptedHandler = taken;
        socket = reactor.environment().listen(address, BACKLOG);
        socket.setHandler(reactor.guarded(this));
    }

    /** Where it listens. */
    public InetSocketAddress address() throws IOException {
        return socket.localAddress();
    }

    @Override
    public void onReady(boolean readable, boolean writable) throws IOException {
        for (int i = 0; i < MAX_ACCEPTS_PER_TURN; i++) {
            Environment.TcpSocket accepted;
            try {
                accepted = socket.accept();
            } catch (IOException e) { // no descriptor left: those that are open go on
                reactor.info("cannot accept: " + e.getMessage());
                pauseAccepting();
                return;
            }
            if (accepted == null) {
                return;
            }
            try {
                acceptedHandler.accept(Connection.ofAccepted(reactor, accepted));
            } catch (IOException e) { // gone before its turn
                accepted.close();
            }
        }
    }

    private void pauseAccepting() {
        socket.setAcceptEnabled(false);
        reactor.scheduleAfter(ACCEPT_PAUSE_MICROS, () -> socket.setAcceptEnabled(true));
    }

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
