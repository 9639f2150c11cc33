package reedmux.gatekeeper.reducer;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import reedmux.gatekeeper.policy.TrafficPolicy.ListedServer;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerListScope;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerStatus;

/** The addresses of all listed providers, by provider id. */
final class ProviderAddresses {
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private volatile boolean anyListed;

    /** Returns the address of a provider, or null if it is not listed. */
    InetSocketAddress get(String provider) {
        return addresses.get(provider);
    }

    int size() {
        return addresses.size();
    }

    /** Returns whether any provider is listed. Can be called from any thread. */
    boolean anyListed() {
        return anyListed;
    }

    /**
     * Applies a full provider list or changes to the current one. Closes the idle connections to providers that are
     * gone, are missing from a full list or have a new address; such connections would otherwise hold file descriptors
     * and the providers' connection slots for a long time.
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
