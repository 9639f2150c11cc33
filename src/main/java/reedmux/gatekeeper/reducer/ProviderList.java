package reedmux.gatekeeper.reducer;

import java.net.InetSocketAddress;
import java.util.List;
import reedmux.gatekeeper.policy.TrafficPolicy.ListedServer;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerListScope;

/** A full list of providers, or changes to the current one, with the addresses that this gatekeeper connects to. */
public record ProviderList(ServerListScope scope, long revision, List<ListedProvider> providers) {

    /** One provider: its description for the policy and its address. */
    public record ListedProvider(ListedServer server, InetSocketAddress address) {}
}
