package reedmux.gatekeeper.service;

import java.util.List;
import reedmux.gatekeeper.routing.RouteTable;

/**
 * The routes and the services they lead to. A reload replaces both at once; a request in progress stays with the
 * service to which it was routed.
 *
 * @param routes  null if a single service receives all requests
 * @param targets the services by route index; the last element is null and stands for requests without a matching
 *                service
 */
public record ServiceRouting(RouteTable routes, List<ServiceRuntime> targets) {

    /** Returns the default service. */
    ServiceRuntime defaultService() {
        return targets.get(0);
    }
}
