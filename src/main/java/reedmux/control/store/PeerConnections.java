package reedmux.control.store;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import reedmux.common.eventloop.Reactor;
import reedmux.control.rpc.MessageCodec;
import reedmux.control.rpc.Messages.Hello;
import reedmux.control.rpc.RpcConnection;
import reedmux.control.rpc.RpcDialer;

/**
 * The connections between this store and the others. Two stores have up to two connections, as each dials the other:
 * requests go out over the one that this store has dialed, answers go back over the one on which the request came.
 * For the reactor's thread.
 */
final class PeerConnections {
    private final Reactor reactor;
    private final MessageCodec codec;
    private final Hello self;
    private final RpcConnection.RpcConnectionHandler handler;
    private final Map<InetSocketAddress, RpcDialer> dialers = new HashMap<>();
    /** By the peer's IP: the connection of its latest proposal or epoch message. */
    private final Map<String, RpcConnection> proposalConnections = new HashMap<>();
    /** By the peer's IP: the connection of its latest request for contact. */
    private final Map<String, RpcConnection> contactConnections = new HashMap<>();

    PeerConnections(Reactor reactor, MessageCodec codec, Hello self, RpcConnection.RpcConnectionHandler handler) {
        this.reactor = reactor;
        this.codec = codec;
        this.self = self;
        this.handler = handler;
    }

    // ---- Dialing -----------------------------------------------------------------------------------

    /** Keeps a connection to each of these up from now on. */
    void dial(List<InetSocketAddress> addresses) {
        for (InetSocketAddress address : addresses) {
            dialers.put(address, new RpcDialer(reactor, codec, self, address, handler));
        }
    }

    /** As {@link #dial}, for those that are not dialed already. */
    void dialMissing(List<InetSocketAddress> addresses) {
        for (InetSocketAddress address : addresses) {
            if (!dialers.containsKey(address)) {
                dial(List.of(address));
            }
        }
    }

    /** Ends the connections to machines that were taken out of the core. */
    void closeRemoved(CoreAddresses core) {
        Iterator<Map.Entry<InetSocketAddress, RpcDialer>> entries =
                dialers.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<InetSocketAddress, RpcDialer> entry = entries.next();
            if (core.isRemoved(entry.getKey())) {
                entry.getValue().close();
                entries.remove();
            }
        }
    }

    // ---- Outgoing connections ----------------------------------------------------------------------

    /** Whether this store has dialed the connection. */
    boolean isOutgoing(RpcConnection connection) {
        for (RpcDialer dialer : dialers.values()) {
            if (dialer.connection() == connection) {
                return true;
            }
        }
        return false;
    }

    /** The established connection that this store has dialed to a peer; null for none. */
    RpcConnection outgoingConnectionTo(String ip) {
        for (RpcDialer dialer : dialers.values()) {
            RpcConnection connection = dialer.connection();
            if (connection != null && connection.peer().ip().equals(ip)) {
                return connection;
            }
        }
        return null;
    }

    /** As {@link #outgoingConnectionTo}; where there is none, the one over which the peer has last sent a proposal. */
    RpcConnection connectionTo(String ip) {
        RpcConnection outgoing = outgoingConnectionTo(ip);
        return outgoing != null ? outgoing : proposalConnections.get(ip);
    }

    /** Sends a message to all peers that are reachable. */
    void broadcast(Object message) {
        for (RpcDialer dialer : dialers.values()) {
            RpcConnection connection = dialer.connection();
            if (connection != null) {
                connection.sendMessage(message);
            }
        }
    }

    /** When each reachable peer was last heard, by its IP, in microseconds of the reactor's clock. */
    Map<String, Long> lastReceivedMicros() {
        Map<String, Long> lastReceived = new TreeMap<>();
        for (RpcDialer dialer : dialers.values()) {
            RpcConnection connection = dialer.connection();
            if (connection != null) {
                lastReceived.put(connection.peer().ip(), connection.lastReceivedMicros());
            }
        }
        return lastReceived;
    }

    // ---- Connections to answer over ----------------------------------------------------------------

    /** A proposal or epoch message came over this connection: votes go back the same way. */
    void recordProposalConnection(RpcConnection connection) {
        proposalConnections.put(connection.peer().ip(), connection);
    }

    /** A request for contact came over this connection: its confirmation goes back the same way. */
    void recordContactConnection(RpcConnection connection) {
        contactConnections.put(connection.peer().ip(), connection);
    }

    /** The connection over which the peer has sent its latest proposal; null for none. */
    RpcConnection proposalConnection(String ip) {
        return proposalConnections.get(ip);
    }

    /** The connection over which the peer has last asked for contact; null for none. */
    RpcConnection contactConnection(String ip) {
        return contactConnections.get(ip);
    }

    /** A connection has ended. */
    void onDisconnected(RpcConnection connection) {
        proposalConnections.remove(connection.peer().ip(), connection);
        contactConnections.remove(connection.peer().ip(), connection);
    }
}
