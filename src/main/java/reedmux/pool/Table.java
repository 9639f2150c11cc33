package reedmux.pool;

import java.util.List;
import reedmux.routing.RouteTable;

/**
 * Where requests are led, replaced as a whole: a request that was read under one table stays with the pool
 * that it named.
 *
 * @param routes  null where there is one service, which takes all
 * @param targets the pools by the services' numbers in the routes; null for what is served by nobody
 */
record Table(RouteTable routes, List<Pool> targets) {

    /** The pool of the platform's own service. */
    Pool main() {
        return targets.get(0);
    }
}
