package reedmux.simulation.soak;

import java.util.List;
import java.util.Random;
import java.util.function.Supplier;
import reedmux.common.eventloop.Reactor;
import reedmux.simulation.cluster.ClusterInvariantChecker;
import reedmux.simulation.cluster.SimulatedClients;

/**
 * What all clients of a soak share.
 *
 * @param invariants hear of every request
 * @param plan       draws the next request
 * @param proxies    a live list
 */
record ClientContext(
        Reactor reactor,
        Random random,
        ClusterInvariantChecker invariants,
        Supplier<SimulatedClients.PlannedRequest> plan,
        List<SoakMachine> proxies) {

    SoakMachine anyProxy() {
        return proxies.get(random.nextInt(proxies.size()));
    }

    /** Tells the invariants of a request that is sent now. */
    void reportSent(String id, SoakMachine proxy, SimulatedClients.PlannedRequest planned) {
        invariants.onRequestSent(
                id,
                proxy.name(),
                planned.idempotent(),
                planned.tenant(),
                planned.service(),
                planned.routeItem(),
                reactor.now());
    }
}
