package reedmux.common.eventloop;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.BiConsumer;

/** Sends and receives datagrams on one local address. All methods must be called on the reactor's thread. */
public final class UdpEndpoint implements Environment.ReadinessHandler {
    private final Reactor reactor;
    private final Environment.UdpSocket socket;
    private final BiConsumer<InetSocketAddress, byte[]> datagramHandler;

    /**
     * Binds an address.
     *
     * @param datagramHandler receives the sender and the content of each datagram
     * @throws IOException if the address cannot be bound
     */
    public UdpEndpoint(
            Reactor reactor, InetSocketAddress address, BiConsumer<InetSocketAddress, byte[]> datagramHandler)
            throws IOException {
        this.reactor = reactor;
        this.datagramHandler = datagramHandler;
        socket = reactor.environment().bindDatagram(address);
        socket.setHandler(reactor.guard(this));
    }

    /** Sends a datagram; a datagram that the kernel does not accept is dropped without an error. */
    public void send(InetSocketAddress recipient, byte[] bytes) {
        try {
            socket.send(recipient, ByteBuffer.wrap(bytes));
        } catch (IOException e) {
            // dropped: callers expect that datagrams are lost, and resend them
        }
    }

    @Override
    public void onReady(boolean readable, boolean writable) throws IOException {
        while (true) {
            ByteBuffer buffer = reactor.readBuffer.clear();
            InetSocketAddress sender = socket.receive(buffer);
            if (sender == null) {
                return;
            }
            byte[] bytes = new byte[buffer.flip().remaining()];
            buffer.get(bytes);
            datagramHandler.accept(sender, bytes);
        }
    }

    @Override
    public void onFailure(Exception cause) {
        reactor.info("UDP socket failed: " + cause.getMessage());
    }
}
