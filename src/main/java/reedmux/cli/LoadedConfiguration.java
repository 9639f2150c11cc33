package reedmux.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import reedmux.common.time.MonotonicClock;
import reedmux.gatekeeper.config.ConfigException;
import reedmux.gatekeeper.config.GatekeeperConfig;
import reedmux.gatekeeper.script.ScriptException;
import reedmux.gatekeeper.settings.OperatorSettings;

/**
 * A gatekeeper's complete configuration. The platform's configuration and the operators' settings are loaded together;
 * an error in either rejects both.
 *
 * @param config   the platform's configuration
 * @param settings the operators' settings; {@link OperatorSettings#NONE} if there are none
 * @param services the services defined by both
 */
public record LoadedConfiguration(GatekeeperConfig config, OperatorSettings settings, ServiceCatalog services) {

    /** Returns the platform's configuration without operator settings. */
    static LoadedConfiguration platformOnly(GatekeeperConfig config) {
        return new LoadedConfiguration(config, OperatorSettings.NONE, ServiceCatalog.platformOnly(config));
    }

    /** Loads the platform's configuration and, if {@code file} is not null, the operators' settings. */
    static LoadedConfiguration load(Map<String, String> environment, Path file, MonotonicClock clock)
            throws ConfigException {
        return withOperatorSettings(GatekeeperConfig.load(environment, clock), file, clock);
    }

    /** Loads both again for a running process, whose configuration can be changed only in part. */
    static LoadedConfiguration reload(Map<String, String> environment, Path file, MonotonicClock clock)
            throws ConfigException {
        return withOperatorSettings(GatekeeperConfig.reload(environment, clock), file, clock);
    }

    private static LoadedConfiguration withOperatorSettings(GatekeeperConfig config, Path file, MonotonicClock clock)
            throws ConfigException {
        if (file == null) {
            return platformOnly(config);
        }
        try {
            return of(config, OperatorSettings.read(file), file, clock);
        } catch (ScriptException e) {
            throw new ConfigException(e.getMessage());
        }
    }

    /**
     * Combines the platform's configuration with operator settings.
     *
     * @param file the operators' file; the paths of documents that it names are relative to its folder
     * @throws ConfigException if the settings conflict with the platform's configuration, or a document is invalid
     */
    static LoadedConfiguration of(GatekeeperConfig config, OperatorSettings settings, Path file, MonotonicClock clock)
            throws ConfigException {
        List<String> conflicts = settings.platformConflicts(
                config.settings().groupSize(),
                config.settings().maxUnits() >= 1e9 ? 1 : config.settings().maxUnits(),
                config.maxDescriptors());
        if (!conflicts.isEmpty()) {
            throw new ConfigException(file + ": " + String.join("; ", conflicts));
        }
        return new LoadedConfiguration(
                config,
                settings,
                ServiceCatalog.of(
                        config, settings.services(), file.toAbsolutePath().getParent(), clock));
    }
}
