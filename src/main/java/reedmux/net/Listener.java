package reedmux.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.function.Consumer;

/** Takes in connections at an address, as long as there is room for them. */
public final class Listener implements Reactor.Handler {
    private static final int BACKLOG = 512;
    private static final int AT_ONCE = 64;
    private static final long PAUSE = 50_000;
    private final Reactor reactor;
    private final ServerSocketChannel channel;
    private final SelectionKey key;
    private final Consumer<Wire> taken;

    public Listener(Reactor reactor, InetSocketAddress address, Consumer<Wire> taken) throws IOException {
        this.reactor = reactor;
        this.taken = taken;
        channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(address, BACKLOG);
        key = reactor.register(channel, SelectionKey.OP_ACCEPT, this);
    }

    /** Where it listens. */
    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) channel.getLocalAddress();
    }

    @Override
    public void ready(SelectionKey ignored) throws IOException {
        for (int i = 0; i < AT_ONCE; i++) {
            SocketChannel accepted;
            try {
                accepted = channel.accept();
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
        key.interestOps(0);
        reactor.after(PAUSE, () -> {
            if (key.isValid()) {
                key.interestOps(SelectionKey.OP_ACCEPT);
            }
        });
    }

    public void close() {
        try {
            channel.close();
        } catch (IOException e) {
            reactor.log("listener: " + e.getMessage());
        }
    }

    @Override
    public void failed(Exception cause) {
        reactor.log("listener: " + cause.getMessage());
    }
}
