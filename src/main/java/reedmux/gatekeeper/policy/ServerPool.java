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

/** The listed servers, those of them that may be used, and sums over these. */
final class ServerPool {
    private final Map<String, ServerState> servers = new TreeMap<>();
    /** Servers that may be used, sorted by their ids. */
    final List<ServerState> ready = new ArrayList<>();

    /**
     * Takes in a list or changes to it.
     *
     * @param initialLimit the first bound on the attempts in flight at a server
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
            // What is still in flight at one that is gone or has restarted ends on its old state.
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

    /** Attempts in flight at the servers that may be used. */
    int inFlight() {
        int inFlight = 0;
        for (ServerState server : ready) {
            inFlight += server.inFlight;
        }
        return inFlight;
    }

    /** The bounds on these, added up. */
    double concurrencyLimit() {
        double limit = 0;
        for (ServerState server : ready) {
            limit += server.concurrencyLimit;
        }
        return limit;
    }

    /** How many of the servers that may be used are ejected. */
    int ejectedCount() {
        int ejected = 0;
        for (ServerState server : ready) {
            ejected += server.isEjected() ? 1 : 0;
        }
        return ejected;
    }
}
