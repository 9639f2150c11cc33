package reedmux.common.eventloop;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.BiConsumer;

/** Datagrams at one address. */
public final class UdpEndpoint implements Environment.ReadinessHandler {
    private final Reactor reactor;
    private final Environment.UdpSocket socket;
    private final BiConsumer<InetSocketAddress, byte[]> receiver;

    public UdpEndpoint(Reactor reactor, InetSocketAddress address, BiConsumer<InetSocketAddress, byte[]> taken)
            throws IOException {
        this.reactor = reactor;
        this.receiver = taken;
        socket = reactor.environment().bindDatagram(address);
        socket.setHandler(reactor.guarded(this));
    }

    /** Sends one, or loses it where there is no room. */
    public void send(InetSocketAddress to, byte[] bytes) {
        try {
            socket.send(to, ByteBuffer.wrap(bytes));
        } catch (IOException e) {
            // lost, as datagrams may be
        }
    }

    @Override
    public void onReady(boolean readable, boolean writable) throws IOException {
        while (true) {
            ByteBuffer chunk = reactor.readBuffer.clear();
            InetSocketAddress from = socket.receive(chunk);
            if (from == null) {
                return;
            }
            byte[] bytes = new byte[chunk.flip().remaining()];
            chunk.get(bytes);
            receiver.accept(from, bytes);
        }
    }

    @Override
    public void onFailure(Exception cause) {
        reactor.info("datagrams: " + cause.getMessage());
    }
}
