package reedmux.simulation.soak;

/**
 * What a soak consists of.
 *
 * @param seed     of all its random choices
 * @param seconds  for which faults are injected
 * @param proxies  processes that serve clients
 * @param cores    machines of the core, each with a store and a registry
 * @param checkers stand-ins for checkers
 * @param clients  clients that send one request after another
 * @param leaving  clients that leave without waiting for their responses
 * @param tenants  with quotas of their own, of which some go beyond them
 * @param rate     what these tenants usually ask for together, in requests a second
 * @param throttle how long each proxy stands still in every tenth of a second, at most, in milliseconds
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
        int throttle) {}
