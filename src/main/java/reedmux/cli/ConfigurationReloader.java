package reedmux.cli;

import java.util.List;
import java.util.function.Consumer;
import reedmux.gatekeeper.config.ConfigException;
import reedmux.gatekeeper.config.GatekeeperConfig;
import reedmux.gatekeeper.service.ServiceManager;
import reedmux.gatekeeper.settings.RegionSettings;

/**
 * Applies a changed configuration to a running gatekeeper. Changes that require a restart are logged, and those keys
 * keep their old values.
 */
final class ConfigurationReloader {
    private final GatekeeperConfig configAtStart;
    private final ServiceManager services;
    /** Null if the process was started without a region. */
    private final RegionConnector regionConnector;

    private final Consumer<String> log;

    /** A source from which the configuration is read at each reload. */
    interface ConfigurationSource {
        /**
         * Reads the current configuration.
         *
         * @throws ConfigException if the configuration is invalid; the message names the invalid key
         */
        LoadedConfiguration read() throws ConfigException;
    }

    ConfigurationReloader(
            GatekeeperConfig configAtStart,
            ServiceManager services,
            RegionConnector regionConnector,
            Consumer<String> log) {
        this.configAtStart = configAtStart;
        this.services = services;
        this.regionConnector = regionConnector;
        this.log = log;
    }

    /** Applies the configuration read from {@code source}; an invalid one is logged and changes nothing. */
    void reload(ConfigurationSource source) {
        try {
            LoadedConfiguration loaded = source.read();
            List<String> unchangeable = configAtStart.keysRequiringRestart(loaded.config());
            if (!unchangeable.isEmpty()) {
                log.accept("configuration: a change takes a restart: " + String.join(", ", unchangeable));
            }
            services.reload(loaded.services().pools(), loaded.services().routes());
            RegionSettings region = loaded.settings().region();
            if (regionConnector != null) {
                services.defaultService().post(regionConnector.reload(region));
            } else if (region != null) {
                log.accept("settings: a change takes a restart: region");
            }
        } catch (ConfigException e) {
            log.accept("configuration: " + e.getMessage() + "; the old settings stay");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
