package reedmux.gatekeeper.peer;

import java.io.IOException;
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

/** Datagrams from and to the other gatekeepers; the core's loop waits here. */
public final class PeerSocket implements GatekeeperLoop.LoopWaiter, AutoCloseable {
    public static final int MAX_DATAGRAM_BYTES = 256;
    private static final int MAX_DATAGRAMS_PER_RECEIVE = 64;

    private final Selector selector;
    private final InetSocketAddress listen;
    private DatagramChannel channel;
    private final List<InetSocketAddress> peers;
    private final InetSocketAddress broadcastAddress;
    private final Map<SocketAddress, Integer> peerNumbers = new HashMap<>();
    private final ByteBuffer in = ByteBuffer.allocateDirect(MAX_DATAGRAM_BYTES + 1);
    private final ByteBuffer out = ByteBuffer.allocateDirect(MAX_DATAGRAM_BYTES);
    private long droppedCount;
    private long unsentCount;

    /**
     * Hears peers at an address, once told to {@link #open}, or only waits where that is null. All but
     * {@link #wake} is for the thread that runs the turns.
     */
    public PeerSocket(InetSocketAddress listen, List<InetSocketAddress> peers, InetSocketAddress everyone)
            throws IOException {
        this.listen = listen;
        this.peers = peers;
        this.broadcastAddress = everyone;
        for (int i = 0; i < peers.size(); i++) {
            peerNumbers.put(peers.get(i), i);
        }
        selector = Selector.open();
    }

    /** Takes the socket, unless it has it; nobody else may have it then. */
    public void open() throws IOException {
        if (listen == null || channel != null) {
            return;
        }
        DatagramChannel made = DatagramChannel.open();
        try {
            made.configureBlocking(false);
            made.bind(listen);
            made.register(selector, SelectionKey.OP_READ);
        } catch (IOException e) {
            made.close();
            throw e;
        }
        channel = made;
    }

    /** Lets the socket go, for another process to take; until it is open again nothing comes and goes. */
    public void release() throws IOException {
        if (channel != null) {
            DatagramChannel had = channel;
            channel = null;
            had.close();
            selector.selectNow(); // only now does the selector let go of it
        }
    }

    @Override
    public void await(long micros) {
        try {
            // Rounded up: a wait cut short would only mean one more turn that finds nothing due.
            selector.select(Math.max(1, Math.min(60_000, (micros + 999) / 1000)));
            selector.selectedKeys().clear();
        } catch (IOException e) {
            throw new IllegalStateException("the selector of the peer link failed", e);
        }
    }

    @Override
    public void wake() {
        selector.wakeup();
    }

    /** Takes in what has arrived; from strangers, too long or broken means dropped and counted. */
    @Override
    public void receive(GatekeeperLoop.PeerDatagramHandler sink) {
        for (int i = 0; channel != null && i < MAX_DATAGRAMS_PER_RECEIVE; i++) {
            in.clear();
            SocketAddress from;
            try {
                from = channel.receive(in);
            } catch (IOException e) {
                droppedCount++; // an ICMP error of an earlier send comes up here and says nothing of the next
                continue;
            }
            if (from == null) {
                return;
            }
            Integer number = peerNumbers.get(from);
            if (number == null || in.position() > MAX_DATAGRAM_BYTES) {
                droppedCount++;
                continue;
            }
            byte[] bytes = new byte[in.position()];
            in.flip().get(bytes);
            int tag = PoolTag.of(bytes);
            sink.onDatagram(tag, number, tag == PoolTag.NONE ? bytes : PoolTag.untagged(bytes));
        }
    }

    /** Sends to one peer, or to all at -1. What cannot be sent is lost, as on any such link. */
    public void send(int peer, byte[] bytes) {
        InetSocketAddress to = peer < 0 ? broadcastAddress : peer < peers.size() ? peers.get(peer) : null;
        if (channel == null || to == null || bytes.length > MAX_DATAGRAM_BYTES) {
            unsentCount++;
            return;
        }
        out.clear();
        out.put(bytes).flip();
        try {
            channel.send(out, to);
        } catch (IOException e) {
            unsentCount++;
        }
    }

    /** Datagrams that came in and were of no use. */
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
