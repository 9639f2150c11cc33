package reedmux.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import reedmux.common.time.MonotonicClock;
import reedmux.gatekeeper.config.ConfigException;
import reedmux.gatekeeper.config.GatekeeperConfig;
import reedmux.gatekeeper.config.ServiceConfig;
import reedmux.gatekeeper.routing.RouteTable;
import reedmux.gatekeeper.service.AdmissionControl.AdmissionLimits;
import reedmux.gatekeeper.service.ServiceManager;
import reedmux.gatekeeper.service.ServiceSetup;
import reedmux.gatekeeper.settings.ServicesSettings;

/**
 * The services that a gatekeeper serves, read whole: the platform's, and those that the operators have set
 * with the documents that they name.
 *
 * @param pools   the platform's own in front
 * @param routes  null where there is no other
 * @param settled what is shared, as it was set
 */
public record ServiceCatalog(
        List<ServiceSetup> pools, RouteTable routes, ServicesSettings.SharingSettings configuredSharing) {

    /** The platform's service alone. */
    static ServiceCatalog platformOnly(GatekeeperConfig config) {
        return new ServiceCatalog(
                List.of(ServiceSetup.onlyService(config.service())),
                null,
                new ServicesSettings.SharingSettings(true, 0, 0));
    }

    /** Reads what is set; paths of documents begin at {@code folder}. */
    static ServiceCatalog of(GatekeeperConfig config, ServicesSettings services, Path folder, MonotonicClock clock)
            throws ConfigException {
        if (services.routes() == null) {
            return platformOnly(config);
        }
        List<ServiceSetup> pools = new ArrayList<>();
        for (ServicesSettings.ServiceSettings told : services.services()) {
            pools.add(new ServiceSetup(
                    told.name(),
                    service(config, told, folder, clock),
                    told.weight(),
                    told.maxQueued(),
                    new AdmissionLimits(
                            told.maxInFlight() == 0 ? Integer.MAX_VALUE : told.maxInFlight(),
                            told.maxBufferedBytes() == 0 ? Long.MAX_VALUE : told.maxBufferedBytes()),
                    told.servesWithoutHost()));
        }
        return new ServiceCatalog(pools, services.routes(), services.sharing());
    }

    private static ServiceConfig service(
            GatekeeperConfig config, ServicesSettings.ServiceSettings told, Path folder, MonotonicClock clock)
            throws ConfigException {
        if (told.name().equals(ServicesSettings.DEFAULT_SERVICE)) {
            return config.service();
        } else if (told.config() == null) {
            return config.service(told.discovery());
        }
        Path file = folder.resolve(told.config());
        String where = "service." + told.name() + " in line " + told.position().line() + ": " + file + ": ";
        try {
            return config.service(Files.readAllBytes(file), told.discovery(), clock);
        } catch (IOException e) {
            throw new ConfigException(where + "cannot be read: " + e);
        } catch (ConfigException e) {
            throw new ConfigException(where + e.getMessage());
        }
    }

    /** What the pools share; what is not set is what the program has room for. */
    ServiceManager.SharedCapacity sharing(int inFlight, long bytes, int descriptors) {
        return new ServiceManager.SharedCapacity(
                configuredSharing.maxInFlight() == 0 ? inFlight : configuredSharing.maxInFlight(),
                configuredSharing.maxBufferedBytes() == 0 ? bytes : configuredSharing.maxBufferedBytes(),
                descriptors,
                configuredSharing.fair());
    }
}
