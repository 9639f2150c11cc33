package reedmux.gatekeeper.service;

import java.util.List;
import reedmux.gatekeeper.routing.RouteTable;

/**
 * Where requests are led, replaced as a whole: a request that was read under one table stays with the pool
 * that it named.
 *
 * @param routes  null where there is one service, which takes all
 * @param targets the pools by the services' numbers in the routes; null for what is served by nobody
 */
public record ServiceRouting(RouteTable routes, List<ServiceRuntime> targets) {

    /** The pool of the platform's own service. */
    ServiceRuntime defaultService() {
        return targets.get(0);
    }
}
