package reedmux.gatekeeper.reducer;

import java.net.InetSocketAddress;
import java.util.List;
import reedmux.gatekeeper.policy.TrafficPolicy.ListedServer;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerListScope;

/** A list of providers, or changes to one, with the addresses at which this gatekeeper reaches them. */
public record ProviderList(ServerListScope scope, long revision, List<ListedProvider> providers) {

    /** One provider; the server is what the policy knows of it. */
    public record ListedProvider(ListedServer server, InetSocketAddress address) {}
}
