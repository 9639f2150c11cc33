package reedmux.simulation.soak;

import java.util.List;
import java.util.Random;
import java.util.function.Supplier;
import reedmux.common.eventloop.Reactor;
import reedmux.simulation.cluster.ClusterInvariantChecker;
import reedmux.simulation.cluster.SimulatedClients;

/**
 * The state shared by all clients of a soak.
 *
 * @param reactor    runs the clients and provides the time
 * @param random     the source of the clients' random choices
 * @param invariants receives a report of every request
 * @param plan       generates the next request
 * @param proxies    the proxies that are currently in use; a live list
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

    /** Reports a request that is being sent now to the invariant checker. */
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
