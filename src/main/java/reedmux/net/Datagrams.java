package reedmux.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.BiConsumer;

/** Datagrams at one address. */
public final class Datagrams implements Environment.Handler {
    private final Reactor reactor;
    private final Environment.Post post;
    private final BiConsumer<InetSocketAddress, byte[]> taken;

    public Datagrams(Reactor reactor, InetSocketAddress address, BiConsumer<InetSocketAddress, byte[]> taken)
            throws IOException {
        this.reactor = reactor;
        this.taken = taken;
        post = reactor.environment().post(address);
        post.handle(reactor.guarded(this));
    }

    /** Sends one, or loses it where there is no room. */
    public void send(InetSocketAddress to, byte[] bytes) {
        try {
            post.send(to, ByteBuffer.wrap(bytes));
        } catch (IOException e) {
            // lost, as datagrams may be
        }
    }

    @Override
    public void ready(boolean readable, boolean writable) throws IOException {
        while (true) {
            ByteBuffer chunk = reactor.chunk.clear();
            InetSocketAddress from = post.receive(chunk);
            if (from == null) {
                return;
            }
            byte[] bytes = new byte[chunk.flip().remaining()];
            chunk.get(bytes);
            taken.accept(from, bytes);
        }
    }

    @Override
    public void failed(Exception cause) {
        reactor.log("datagrams: " + cause.getMessage());
    }
}
