package reedmux.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import reedmux.config.Config;
import reedmux.config.ConfigException;
import reedmux.config.Service;
import reedmux.core.Clock;
import reedmux.pool.Admission.Most;
import reedmux.pool.PoolSetup;
import reedmux.pool.Pools;
import reedmux.routing.RouteTable;
import reedmux.settings.Services;

/**
 * The services that a gatekeeper serves, read whole: the platform's, and those that the operators have set
 * with the documents that they name.
 *
 * @param pools   the platform's own in front
 * @param routes  null where there is no other
 * @param settled what is shared, as it was set
 */
record Serving(List<PoolSetup> pools, RouteTable routes, Services.Sharing settled) {

    /** The platform's service alone. */
    static Serving alone(Config config) {
        return new Serving(List.of(PoolSetup.alone(config.service())), null, new Services.Sharing(true, 0, 0));
    }

    /** Reads what is set; paths of documents begin at {@code folder}. */
    static Serving of(Config config, Services services, Path folder, Clock clock) throws ConfigException {
        if (services.routes() == null) {
            return alone(config);
        }
        List<PoolSetup> pools = new ArrayList<>();
        for (Services.Service told : services.services()) {
            pools.add(new PoolSetup(
                    told.name(),
                    service(config, told, folder, clock),
                    told.weight(),
                    told.mostQueued(),
                    new Most(
                            told.mostInFlight() == 0 ? Integer.MAX_VALUE : told.mostInFlight(),
                            told.mostBuffered() == 0 ? Long.MAX_VALUE : told.mostBuffered()),
                    told.hostless()));
        }
        return new Serving(pools, services.routes(), services.sharing());
    }

    private static Service service(Config config, Services.Service told, Path folder, Clock clock)
            throws ConfigException {
        if (told.name().equals(Services.DEFAULT)) {
            return config.service();
        } else if (told.config() == null) {
            return config.service(told.discovery());
        }
        Path file = folder.resolve(told.config());
        String where = "service." + told.name() + " in line " + told.place().line() + ": " + file + ": ";
        try {
            return config.service(Files.readAllBytes(file), told.discovery(), clock);
        } catch (IOException e) {
            throw new ConfigException(where + "cannot be read: " + e);
        } catch (ConfigException e) {
            throw new ConfigException(where + e.getMessage());
        }
    }

    /** What the pools share; what is not set is what the program has room for. */
    Pools.Sharing sharing(int inFlight, long bytes, int descriptors) {
        return new Pools.Sharing(
                settled.inFlight() == 0 ? inFlight : settled.inFlight(),
                settled.buffered() == 0 ? bytes : settled.buffered(),
                descriptors,
                settled.fair());
    }
}
