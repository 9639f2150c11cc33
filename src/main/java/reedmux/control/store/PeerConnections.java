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
 * The connections between this store and its peers. Two stores share up to two connections, because each dials the
 * other. Requests are sent over the outgoing connection, which this store has dialed; a reply is sent over the
 * connection on which the request was received. Not thread-safe; confined to the reactor thread.
 */
final class PeerConnections {
    private final Reactor reactor;
    private final MessageCodec codec;
    private final Hello self;
    private final RpcConnection.RpcConnectionHandler handler;
    private final Map<InetSocketAddress, RpcDialer> dialers = new HashMap<>();
    /** The connection on which each peer, keyed by IP address, sent its latest proposal or epoch message. */
    private final Map<String, RpcConnection> proposalConnections = new HashMap<>();
    /** The connection on which each peer, keyed by IP address, sent its latest contact request. */
    private final Map<String, RpcConnection> contactConnections = new HashMap<>();

    PeerConnections(Reactor reactor, MessageCodec codec, Hello self, RpcConnection.RpcConnectionHandler handler) {
        this.reactor = reactor;
        this.codec = codec;
        this.self = self;
        this.handler = handler;
    }

    // ---- Dialing -----------------------------------------------------------------------------------

    /** Connects to each of these addresses, and reconnects whenever the connection is lost. */
    void dial(List<InetSocketAddress> addresses) {
        for (InetSocketAddress address : addresses) {
            dialers.put(address, new RpcDialer(reactor, codec, self, address, handler));
        }
    }

    /** Dials those of the addresses that are not being dialed already. */
    void dialMissing(List<InetSocketAddress> addresses) {
        for (InetSocketAddress address : addresses) {
            if (!dialers.containsKey(address)) {
                dial(List.of(address));
            }
        }
    }

    /** Closes the connections to machines that have been removed from the core, and stops dialing them. */
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

    /** Returns whether this store has dialed the connection. */
    boolean isOutgoing(RpcConnection connection) {
        for (RpcDialer dialer : dialers.values()) {
            if (dialer.connection() == connection) {
                return true;
            }
        }
        return false;
    }

    /** Returns the established connection that this store has dialed to a peer, or null if there is none. */
    RpcConnection outgoingConnectionTo(String ip) {
        for (RpcDialer dialer : dialers.values()) {
            RpcConnection connection = dialer.connection();
            if (connection != null && connection.peer().ip().equals(ip)) {
                return connection;
            }
        }
        return null;
    }

    /**
     * Returns the outgoing connection to a peer. If there is none, returns the connection on which the peer sent its
     * latest proposal or epoch message, or null if there is none of these either.
     */
    RpcConnection connectionTo(String ip) {
        RpcConnection outgoing = outgoingConnectionTo(ip);
        return outgoing != null ? outgoing : proposalConnections.get(ip);
    }

    /** Sends a message over every established outgoing connection. */
    void broadcast(Object message) {
        for (RpcDialer dialer : dialers.values()) {
            RpcConnection connection = dialer.connection();
            if (connection != null) {
                connection.sendMessage(message);
            }
        }
    }

    /**
     * Returns when the latest message from each connected peer was received, in microseconds of the reactor's clock,
     * keyed by the peer's IP address.
     */
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

    // ---- Connections for replies -------------------------------------------------------------------

    /** Records the connection on which a proposal or epoch message was received; the votes are sent over it. */
    void recordProposalConnection(RpcConnection connection) {
        proposalConnections.put(connection.peer().ip(), connection);
    }

    /** Records the connection on which a contact request was received; the confirmation is sent over it. */
    void recordContactConnection(RpcConnection connection) {
        contactConnections.put(connection.peer().ip(), connection);
    }

    /** Returns the connection on which the peer sent its latest proposal or epoch message, or null if there is none. */
    RpcConnection proposalConnection(String ip) {
        return proposalConnections.get(ip);
    }

    /** Returns the connection on which the peer sent its latest contact request, or null if there is none. */
    RpcConnection contactConnection(String ip) {
        return contactConnections.get(ip);
    }

    /** Removes a closed connection from those used for replies. */
    void onDisconnected(RpcConnection connection) {
        proposalConnections.remove(connection.peer().ip(), connection);
        contactConnections.remove(connection.peer().ip(), connection);
    }
}
