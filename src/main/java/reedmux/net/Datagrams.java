package reedmux.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.util.function.BiConsumer;

/** Datagrams at one address. */
public final class Datagrams implements Reactor.Handler {
    private final Reactor reactor;
    private final DatagramChannel channel;
    private final BiConsumer<InetSocketAddress, byte[]> taken;

    public Datagrams(Reactor reactor, InetSocketAddress address, BiConsumer<InetSocketAddress, byte[]> taken)
            throws IOException {
        this.reactor = reactor;
        this.taken = taken;
        channel = DatagramChannel.open();
        channel.bind(address);
        reactor.register(channel, SelectionKey.OP_READ, this);
    }

    /** Sends one, or loses it where there is no room. */
    public void send(InetSocketAddress to, byte[] bytes) {
        try {
            channel.send(ByteBuffer.wrap(bytes), to);
        } catch (IOException e) {
            // lost, as datagrams may be
        }
    }

    @Override
    public void ready(SelectionKey key) throws IOException {
        while (true) {
            ByteBuffer chunk = reactor.chunk.clear();
            InetSocketAddress from = (InetSocketAddress) channel.receive(chunk);
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
