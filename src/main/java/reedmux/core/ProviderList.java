package reedmux.core;

import java.net.InetSocketAddress;
import java.util.List;
import reedmux.policy.Gateway.Scope;
import reedmux.policy.Gateway.Server;

/** A list of providers, or changes to one, with the addresses at which this gatekeeper reaches them. */
public record ProviderList(Scope scope, long revision, List<Provider> providers) {

    /** One provider; the server is what the module knows of it. */
    public record Provider(Server server, InetSocketAddress address) {}
}
