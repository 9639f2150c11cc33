package reedmux.control.registry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import reedmux.control.rpc.Messages.ChangesRequest;
import reedmux.control.rpc.RpcConnection;

/**
 * The connections of proxies to this registry. The registry uses a few of the proxies for two purposes: after it has
 * restarted, they send it the instances that they know, and they relay its heartbeats to registries that it cannot
 * reach.
 */
final class ProxyConnections {
    /** Maximum number of proxies for each purpose: enough to tolerate one that is shutting down or partitioned. */
    private static final int MAX_HELPERS = 3;

    /** In the order in which the connections were established. */
    private final Set<RpcConnection> connections = new LinkedHashSet<>();
    /** The nodes of the proxies that were queried for the instances that they know. */
    private final Set<String> queriedNodes = new HashSet<>();
    /** Number of queried proxies that knew no instances, because they had just started themselves. */
    private int emptyNoticeCount;

    void add(RpcConnection connection) {
        connections.add(connection);
        queryInstances();
    }

    void remove(RpcConnection connection) {
        connections.remove(connection);
    }

    /** Called when a queried proxy knows no instances; queries another proxy instead. */
    void onEmptyNotice() {
        emptyNoticeCount++;
        queryInstances();
    }

    /**
     * Queries proxies until {@link #MAX_HELPERS} of them have been queried, not counting those that knew no instances.
     * A request with position 0 returns all instances of a proxy.
     */
    private void queryInstances() {
        for (RpcConnection connection : connections) {
            if (queriedNodes.size() - emptyNoticeCount < MAX_HELPERS
                    && queriedNodes.add(connection.peer().node())) {
                connection.sendMessage(new ChangesRequest(0, 0));
            }
        }
    }

    /** Returns the proxies that relay heartbeats, preferring proxies in different zones. */
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
