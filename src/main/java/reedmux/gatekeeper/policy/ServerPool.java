package reedmux.gatekeeper.policy;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import reedmux.gatekeeper.policy.TrafficPolicy.ListedServer;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerList;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerListScope;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerStatus;

/** The listed servers, the ready ones among them, and sums over the ready ones. */
final class ServerPool {
    private final Map<String, ServerState> servers = new TreeMap<>();
    /** Ready servers, sorted by their ids. */
    final List<ServerState> ready = new ArrayList<>();

    /**
     * Applies a server list, or changes to it.
     *
     * @param initialLimit initial concurrency limit of a new server
     * @return servers that are new or have restarted
     */
    List<ServerState> apply(ServerList list, double initialLimit) {
        if (list.scope() == ServerListScope.FULL) {
            Set<String> listed = new LinkedHashSet<>();
            list.servers().forEach(server -> listed.add(server.id()));
            servers.keySet().retainAll(listed);
        }
        List<ServerState> newServers = new ArrayList<>();
        for (ListedServer listing : list.servers()) {
            ServerState server = servers.get(listing.id());
            // Attempts in flight at a removed or restarted server complete on its old state.
            if (listing.status() == ServerStatus.GONE) {
                servers.remove(listing.id());
            } else if (server == null || server.listing.startedAt() != listing.startedAt()) {
                ServerState newServer = new ServerState(listing, initialLimit);
                servers.put(listing.id(), newServer);
                newServers.add(newServer);
            } else {
                server.listing = listing;
            }
        }
        ready.clear();
        servers.values().stream().filter(ServerState::isReady).forEach(ready::add);
        return newServers;
    }

    /** Returns the number of attempts in flight at the ready servers. */
    int inFlight() {
        int inFlight = 0;
        for (ServerState server : ready) {
            inFlight += server.inFlight;
        }
        return inFlight;
    }

    /** Returns the sum of the concurrency limits of the ready servers. */
    double concurrencyLimit() {
        double limit = 0;
        for (ServerState server : ready) {
            limit += server.concurrencyLimit;
        }
        return limit;
    }

    /** Returns the number of ready servers that are ejected. */
    int ejectedCount() {
        int ejected = 0;
        for (ServerState server : ready) {
            ejected += server.isEjected() ? 1 : 0;
        }
        return ejected;
    }
}
