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
 * The services of a gatekeeper: the platform's service and those defined in the operators' settings, including the
 * configuration documents that the settings name.
 *
 * @param pools             the setups of the services, the platform's first
 * @param routes            the table that maps requests to services; null if there is only the platform's service
 * @param configuredSharing the limits shared by all services; 0 for a limit that is not set
 */
public record ServiceCatalog(
        List<ServiceSetup> pools, RouteTable routes, ServicesSettings.SharingSettings configuredSharing) {

    /** Returns a catalog with only the platform's service. */
    static ServiceCatalog platformOnly(GatekeeperConfig config) {
        return new ServiceCatalog(
                List.of(ServiceSetup.onlyService(config.service())),
                null,
                new ServicesSettings.SharingSettings(true, 0, 0));
    }

    /**
     * Returns the services of the operators' settings, or only the platform's service if the settings define none.
     *
     * @param folder the folder against which relative paths of documents are resolved
     * @throws ConfigException if a document cannot be read or is invalid
     */
    static ServiceCatalog of(GatekeeperConfig config, ServicesSettings services, Path folder, MonotonicClock clock)
            throws ConfigException {
        if (services.routes() == null) {
            return platformOnly(config);
        }
        List<ServiceSetup> setups = new ArrayList<>();
        for (ServicesSettings.ServiceSettings settings : services.services()) {
            setups.add(new ServiceSetup(
                    settings.name(),
                    serviceConfig(config, settings, folder, clock),
                    settings.weight(),
                    settings.maxQueued(),
                    new AdmissionLimits(
                            settings.maxInFlight() == 0 ? Integer.MAX_VALUE : settings.maxInFlight(),
                            settings.maxBufferedBytes() == 0 ? Long.MAX_VALUE : settings.maxBufferedBytes()),
                    settings.servesWithoutHost()));
        }
        return new ServiceCatalog(setups, services.routes(), services.sharing());
    }

    private static ServiceConfig serviceConfig(
            GatekeeperConfig config, ServicesSettings.ServiceSettings settings, Path folder, MonotonicClock clock)
            throws ConfigException {
        if (settings.name().equals(ServicesSettings.DEFAULT_SERVICE)) {
            return config.service();
        } else if (settings.config() == null) {
            return config.service(settings.discovery());
        }
        Path file = folder.resolve(settings.config());
        String errorPrefix =
                "service." + settings.name() + " in line " + settings.position().line() + ": " + file + ": ";
        try {
            return config.service(Files.readAllBytes(file), settings.discovery(), clock);
        } catch (IOException e) {
            throw new ConfigException(errorPrefix + "cannot be read: " + e);
        } catch (ConfigException e) {
            throw new ConfigException(errorPrefix + e.getMessage());
        }
    }

    /** Returns the limits shared by all services; the arguments are the defaults for limits that are not set. */
    ServiceManager.SharedCapacity sharedCapacity(int inFlight, long bytes, int descriptors) {
        return new ServiceManager.SharedCapacity(
                configuredSharing.maxInFlight() == 0 ? inFlight : configuredSharing.maxInFlight(),
                configuredSharing.maxBufferedBytes() == 0 ? bytes : configuredSharing.maxBufferedBytes(),
                descriptors,
                configuredSharing.fair());
    }
}
