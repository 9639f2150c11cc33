package reedmux.simulation.soak;

/**
 * The options of a soak.
 *
 * @param seed     the seed of all random choices
 * @param seconds  the time for which faults are injected, in seconds
 * @param proxies  the number of proxy processes
 * @param cores    the number of core machines, each of which runs a store and a registry
 * @param checkers the number of simulated checkers
 * @param clients  the number of clients that send sequential requests
 * @param leaving  the number of clients that disconnect without waiting for their responses
 * @param tenants  the number of tenants with quotas of their own, some of which exceed them
 * @param rate     the usual total request rate of these tenants, in requests per second
 * @param throttle the maximum time for which each proxy is paused in every 100 ms, in milliseconds
 * @param stress   what peers and operators do beyond ordinary traffic
 */
public record SoakOptions(
        long seed,
        int seconds,
        int proxies,
        int cores,
        int checkers,
        int clients,
        int leaving,
        int tenants,
        double rate,
        int throttle,
        SoakStress stress) {}
