package reedmux.gatekeeper.reducer;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import reedmux.gatekeeper.policy.TrafficPolicy.ListedServer;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerListScope;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerStatus;

/** The addresses of all listed providers, by their ids. */
final class ProviderAddresses {
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private volatile boolean anyListed;

    /** The address of a provider, or null where it is not listed. */
    InetSocketAddress get(String provider) {
        return addresses.get(provider);
    }

    int size() {
        return addresses.size();
    }

    /** Whether any provider is listed; may be asked from any thread. */
    boolean anyListed() {
        return anyListed;
    }

    /**
     * Takes in a list or changes to it. Idle connections to providers that are gone, that a full list no longer names
     * or names at another address are closed: they would hold descriptors, and the providers' slots, for long.
     */
    void apply(ProviderList list, ReducerEffects effects) {
        Map<String, InetSocketAddress> before = Map.copyOf(addresses);
        if (list.scope() == ServerListScope.FULL) {
            addresses.clear();
        }
        for (ProviderList.ListedProvider provider : list.providers()) {
            ListedServer server = provider.server();
            if (server.status() == ServerStatus.GONE) {
                addresses.remove(server.id());
            } else {
                addresses.put(server.id(), provider.address());
            }
        }
        before.forEach((id, address) -> {
            if (!address.equals(addresses.get(id))) {
                effects.closeIdleConnections(id, address);
            }
        });
        anyListed = !addresses.isEmpty();
    }
}
