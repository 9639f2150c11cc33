package reedmux.cli;

import java.util.List;
import java.util.function.Consumer;
import reedmux.gatekeeper.config.ConfigException;
import reedmux.gatekeeper.config.GatekeeperConfig;
import reedmux.gatekeeper.service.ServiceManager;
import reedmux.gatekeeper.settings.RegionSettings;

/** Has a running gatekeeper take up a changed configuration. What takes a restart is logged and keeps its old value. */
final class ConfigurationReloader {
    private final GatekeeperConfig configAtStart;
    private final ServiceManager services;
    /** Null where the process has started without a region. */
    private final RegionConnector regionConnector;

    private final Consumer<String> log;

    /** Reads a configuration. */
    interface ConfigurationSource {
        /**
         * Reads it anew.
         *
         * @throws ConfigException if it cannot be used, with the key at fault
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

    /** Takes up what {@code source} reads; what cannot be read is logged and changes nothing. */
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
