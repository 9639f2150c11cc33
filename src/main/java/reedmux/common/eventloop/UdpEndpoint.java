package reedmux.common.eventloop;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.BiConsumer;

/** Sends and receives datagrams at one address. For the reactor's thread. */
public final class UdpEndpoint implements Environment.ReadinessHandler {
    private final Reactor reactor;
    private final Environment.UdpSocket socket;
    private final BiConsumer<InetSocketAddress, byte[]> receiver;

    /**
     * Binds an address.
     *
     * @param receiver receives each datagram with its sender
     * @throws IOException if the address cannot be bound
     */
    public UdpEndpoint(Reactor reactor, InetSocketAddress address, BiConsumer<InetSocketAddress, byte[]> receiver)
            throws IOException {
        this.reactor = reactor;
        this.receiver = receiver;
        socket = reactor.environment().bindDatagram(address);
        socket.setHandler(reactor.guard(this));
    }

    /** Sends a datagram; one that the kernel does not take is dropped without an error. */
    public void send(InetSocketAddress to, byte[] bytes) {
        try {
            socket.send(to, ByteBuffer.wrap(bytes));
        } catch (IOException e) {
            // dropped: senders expect loss and send again
        }
    }

    @Override
    public void onReady(boolean readable, boolean writable) throws IOException {
        while (true) {
            ByteBuffer buffer = reactor.readBuffer.clear();
            InetSocketAddress from = socket.receive(buffer);
            if (from == null) {
                return;
            }
            byte[] bytes = new byte[buffer.flip().remaining()];
            buffer.get(bytes);
            receiver.accept(from, bytes);
        }
    }

    @Override
    public void onFailure(Exception cause) {
        reactor.info("datagrams: " + cause.getMessage());
    }
}
