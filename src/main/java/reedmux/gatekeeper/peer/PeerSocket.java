package reedmux.gatekeeper.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import reedmux.gatekeeper.reducer.GatekeeperLoop;

/**
 * The UDP socket for messages between the gatekeepers of a group. The gatekeeper's loop also waits on its selector. All
 * methods except {@link #wake} are called only by the loop's thread.
 */
public final class PeerSocket implements GatekeeperLoop.LoopWaiter, AutoCloseable {
    /** The maximum size of a datagram that is sent or received. */
    public static final int MAX_DATAGRAM_BYTES = 256;
    /** Bounds the work of one iteration of the loop, so that a flood of datagrams cannot delay it. */
    private static final int MAX_DATAGRAMS_PER_RECEIVE = 64;

    private static final long MAX_WAIT_MILLIS = 60_000;
    private static final long MICROS_PER_MILLI = 1000;

    private final Selector selector;
    private final InetSocketAddress listenAddress;
    private DatagramChannel channel;
    private final List<InetSocketAddress> peers;
    private final InetSocketAddress broadcastAddress;
    private final Map<SocketAddress, Integer> peerIndexes = new HashMap<>();
    private final ByteBuffer receiveBuffer = ByteBuffer.allocateDirect(MAX_DATAGRAM_BYTES + 1);
    private final ByteBuffer sendBuffer = ByteBuffer.allocateDirect(MAX_DATAGRAM_BYTES);
    private long droppedCount;
    private long unsentCount;

    /**
     * Creates a socket that is not open yet.
     *
     * @param listenAddress    the address to bind, or null if the object only serves to wait
     * @param peers            the addresses of the peers, indexed by their numbers
     * @param broadcastAddress the address that reaches all peers
     */
    public PeerSocket(
            InetSocketAddress listenAddress, List<InetSocketAddress> peers, InetSocketAddress broadcastAddress)
            throws IOException {
        this.listenAddress = listenAddress;
        this.peers = peers;
        this.broadcastAddress = broadcastAddress;
        for (int i = 0; i < peers.size(); i++) {
            peerIndexes.put(peers.get(i), i);
        }
        selector = Selector.open();
    }

    /**
     * Opens the socket. Has no effect if it is already open.
     *
     * @throws IOException if the socket cannot be opened, for example because another process has bound the address
     */
    public void open() throws IOException {
        if (listenAddress == null || channel != null) {
            return;
        }
        DatagramChannel opened = DatagramChannel.open();
        try {
            opened.configureBlocking(false);
            opened.bind(listenAddress);
            opened.register(selector, SelectionKey.OP_READ);
        } catch (IOException e) {
            opened.close();
            throw e;
        }
        channel = opened;
    }

    /**
     * Closes the socket so that another process can bind the address. Nothing is sent or received until the next {@link
     * #open}.
     */
    public void release() throws IOException {
        if (channel != null) {
            DatagramChannel closing = channel;
            channel = null;
            closing.close();
            selector.selectNow(); // deregisters the channel; until then the selector keeps the address bound
        }
    }

    @Override
    public void await(long micros) {
        try {
            // Rounded up, because after a shorter wait the next iteration would find nothing due yet.
            long millis = (micros + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI;
            selector.select(Math.max(1, Math.min(MAX_WAIT_MILLIS, millis)));
            selector.selectedKeys().clear();
        } catch (IOException e) {
            throw new UncheckedIOException("the selector of the peer socket failed", e);
        }
    }

    @Override
    public void wake() {
        selector.wakeup();
    }

    /**
     * Passes the received datagrams to the handler. Datagrams from unknown addresses and datagrams that are too long
     * are dropped and counted.
     */
    @Override
    public void receive(GatekeeperLoop.PeerDatagramHandler handler) {
        for (int i = 0; channel != null && i < MAX_DATAGRAMS_PER_RECEIVE; i++) {
            receiveBuffer.clear();
            SocketAddress sender;
            try {
                sender = channel.receive(receiveBuffer);
            } catch (IOException e) {
                droppedCount++; // an ICMP error caused by an earlier send; later datagrams are not affected
                continue;
            }
            if (sender == null) {
                return;
            }
            Integer peer = peerIndexes.get(sender);
            if (peer == null || receiveBuffer.position() > MAX_DATAGRAM_BYTES) {
                droppedCount++;
                continue;
            }
            byte[] bytes = new byte[receiveBuffer.position()];
            receiveBuffer.flip().get(bytes);
            int tag = ServiceTag.read(bytes);
            handler.onDatagram(tag, peer, tag == ServiceTag.NONE ? bytes : ServiceTag.removeTag(bytes));
        }
    }

    /**
     * Sends a datagram to the peer with the given number, or to all peers if the number is -1. A datagram that cannot
     * be sent is counted and discarded, since UDP may lose any datagram anyway.
     */
    public void send(int peer, byte[] bytes) {
        InetSocketAddress recipient = addressOf(peer);
        if (channel == null || recipient == null || bytes.length > MAX_DATAGRAM_BYTES) {
            unsentCount++;
            return;
        }
        sendBuffer.clear();
        sendBuffer.put(bytes).flip();
        try {
            channel.send(sendBuffer, recipient);
        } catch (IOException e) {
            unsentCount++;
        }
    }

    private InetSocketAddress addressOf(int peer) {
        if (peer < 0) {
            return broadcastAddress;
        }
        return peer < peers.size() ? peers.get(peer) : null;
    }

    /** Returns the number of received datagrams that were dropped. */
    public long droppedCount() {
        return droppedCount;
    }

    /** Returns the number of datagrams that could not be sent. */
    public long unsentCount() {
        return unsentCount;
    }

    @Override
    public void close() throws IOException {
        release();
        selector.close();
    }
}
