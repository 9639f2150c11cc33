package reedmux.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Takes in connections at an address, as long as there is room for them. */
public final class Listener implements Environment.Handler {
    private static final int BACKLOG = 512;
    private static final int AT_ONCE = 64;
    private static final long PAUSE = 50_000;
    private final Reactor reactor;
    private final Environment.Port port;
    private final Consumer<Wire> taken;

    public Listener(Reactor reactor, InetSocketAddress address, Consumer<Wire> taken) throws IOException {
        this.reactor = reactor;
        this.taken = taken;
        port = reactor.environment().listen(address, BACKLOG);
        port.handle(reactor.guarded(this));
    }

    /** Where it listens. */
    public InetSocketAddress address() throws IOException {
        return port.address();
    }

    @Override
    public void ready(boolean readable, boolean writable) throws IOException {
        for (int i = 0; i < AT_ONCE; i++) {
            Environment.Line accepted;
            try {
                accepted = port.accept();
            } catch (IOException e) { // no descriptor left: those that are open go on
                reactor.log("cannot accept: " + e.getMessage());
                pause();
                return;
            }
            if (accepted == null) {
                return;
            }
            try {
                taken.accept(Wire.accepted(reactor, accepted));
            } catch (IOException e) { // gone before its turn
                accepted.close();
            }
        }
    }

    private void pause() {
        port.interest(false);
        reactor.after(PAUSE, () -> port.interest(true));
    }

    public void close() {
        try {
            port.close();
        } catch (IOException e) {
            reactor.log("listener: " + e.getMessage());
        }
    }

    @Override
    public void failed(Exception cause) {
        reactor.log("listener: " + cause.getMessage());
    }
}
