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
 * The datagram socket to the other gatekeepers of the group, where the gatekeeper's loop waits. All but {@link #wake}
 * is for the loop's thread.
 */
public final class PeerSocket implements GatekeeperLoop.LoopWaiter, AutoCloseable {
    /** The longest datagram that is sent or received. */
    public static final int MAX_DATAGRAM_BYTES = 256;
    /** So that a flood of datagrams cannot hold up an iteration of the loop. */
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
     * A socket that is not open yet.
     *
     * @param listen           its address, or null to only wait here
     * @param peers            the peers' addresses, by their numbers
     * @param broadcastAddress of all peers together
     */
    public PeerSocket(InetSocketAddress listen, List<InetSocketAddress> peers, InetSocketAddress broadcastAddress)
            throws IOException {
        this.listenAddress = listen;
        this.peers = peers;
        this.broadcastAddress = broadcastAddress;
        for (int i = 0; i < peers.size(); i++) {
            peerIndexes.put(peers.get(i), i);
        }
        selector = Selector.open();
    }

    /**
     * Opens the socket unless it is open.
     *
     * @throws IOException where it cannot be, also where another process has the address
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

    /** Closes the socket, for another process to open; until it is open again nothing is sent or received. */
    public void release() throws IOException {
        if (channel != null) {
            DatagramChannel closing = channel;
            channel = null;
            closing.close();
            selector.selectNow(); // only now is the address free: the selector still held the channel
        }
    }

    @Override
    public void await(long micros) {
        try {
            // Rounded up: a wait cut short would only mean one more iteration that finds nothing due.
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

    /** Hands over what has arrived. Datagrams that are of no peer or too long are dropped and counted. */
    @Override
    public void receive(GatekeeperLoop.PeerDatagramHandler handler) {
        for (int i = 0; channel != null && i < MAX_DATAGRAMS_PER_RECEIVE; i++) {
            receiveBuffer.clear();
            SocketAddress from;
            try {
                from = channel.receive(receiveBuffer);
            } catch (IOException e) {
                droppedCount++; // an ICMP error of an earlier send comes up here and says nothing of the next
                continue;
            }
            if (from == null) {
                return;
            }
            Integer number = peerIndexes.get(from);
            if (number == null || receiveBuffer.position() > MAX_DATAGRAM_BYTES) {
                droppedCount++;
                continue;
            }
            byte[] bytes = new byte[receiveBuffer.position()];
            receiveBuffer.flip().get(bytes);
            int tag = ServiceTag.read(bytes);
            handler.onDatagram(tag, number, tag == ServiceTag.NONE ? bytes : ServiceTag.removeTag(bytes));
        }
    }

    /** Sends to the peer of that number, or to all at -1. What cannot be sent is lost, as any datagram may be. */
    public void send(int peer, byte[] bytes) {
        InetSocketAddress to = addressOf(peer);
        if (channel == null || to == null || bytes.length > MAX_DATAGRAM_BYTES) {
            unsentCount++;
            return;
        }
        sendBuffer.clear();
        sendBuffer.put(bytes).flip();
        try {
            channel.send(sendBuffer, to);
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

    /** Datagrams that came in and were dropped. */
    public long droppedCount() {
        return droppedCount;
    }

    /** Datagrams that could not be sent. */
    public long unsentCount() {
        return unsentCount;
    }

    @Override
    public void close() throws IOException {
        release();
        selector.close();
    }
}
