package reedmux.gatekeeper.service;

import java.util.List;
import reedmux.gatekeeper.routing.RouteTable;

/**
 * The routes and the services that they lead to. A reload replaces both at once; a request stays with the service that
 * it was routed to.
 *
 * @param routes  null if one service takes all requests
 * @param targets the services by their indices in the routes; the last one is null, for requests that nobody serves
 */
public record ServiceRouting(RouteTable routes, List<ServiceRuntime> targets) {

    /** The platform's own service. */
    ServiceRuntime defaultService() {
        return targets.get(0);
    }
}
