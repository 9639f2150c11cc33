package reedmux.control.registry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import reedmux.control.rpc.Messages.ChangesRequest;
import reedmux.control.rpc.RpcConnection;

/**
 * The connections of proxies to this registry. A few of the proxies serve it in two ways: they return the instances
 * that they know after a restart of the registry, and relay its heartbeats to registries that it cannot reach.
 */
final class ProxyConnections {
    /** So many proxies that one that is about to end, or cut off itself, does not matter. */
    private static final int MAX_HELPERS = 3;

    /** In the order in which they were established. */
    private final Set<RpcConnection> connections = new LinkedHashSet<>();
    /** The nodes that were asked for the instances that they know. */
    private final Set<String> queriedNodes = new HashSet<>();
    /** How many of them knew none, as they have started themselves. */
    private int emptyNoticeCount;

    void add(RpcConnection connection) {
        connections.add(connection);
        queryInstances();
    }

    void remove(RpcConnection connection) {
        connections.remove(connection);
    }

    /** A proxy that was asked knows no instance: another one is asked in its place. */
    void onEmptyNotice() {
        emptyNoticeCount++;
        queryInstances();
    }

    /** Asks until enough proxies have been asked that may know something; position 0 of a proxy means all. */
    private void queryInstances() {
        for (RpcConnection connection : connections) {
            if (queriedNodes.size() - emptyNoticeCount < MAX_HELPERS
                    && queriedNodes.add(connection.peer().node())) {
                connection.sendMessage(new ChangesRequest(0, 0));
            }
        }
    }

    /** Returns the proxies that relay heartbeats: from different zones as far as there are any. */
    List<RpcConnection> relays() {
        Set<String> zones = new HashSet<>();
        List<RpcConnection> relays = new ArrayList<>();
        for (RpcConnection connection : connections) {
            if (relays.size() < MAX_HELPERS && zones.add(connection.peer().zone())) {
                relays.add(connection);
            }
        }
        for (RpcConnection connection : connections) {
            if (relays.size() < MAX_HELPERS && !relays.contains(connection)) {
                relays.add(connection);
            }
        }
        return relays;
    }
}
