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
 * A gatekeeper's complete configuration: the platform's and the operators', loaded together or not at all.
 *
 * @param config   the platform's configuration
 * @param settings the operators' settings; {@link OperatorSettings#NONE} if they have none
 * @param services the services that follow from both
 */
public record LoadedConfiguration(GatekeeperConfig config, OperatorSettings settings, ServiceCatalog services) {

    /** The platform's configuration alone. */
    static LoadedConfiguration platformOnly(GatekeeperConfig config) {
        return new LoadedConfiguration(config, OperatorSettings.NONE, ServiceCatalog.platformOnly(config));
    }

    /** Loads the platform's configuration and, if {@code file} is not null, the operators' settings. */
    static LoadedConfiguration load(Map<String, String> environment, Path file, MonotonicClock clock)
            throws ConfigException {
        return withOperatorSettings(GatekeeperConfig.load(environment, clock), file, clock);
    }

    /** Loads both again, as far as a running process can change them. */
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
     * Combines both.
     *
     * @param file the operators' file; documents that it names are resolved beside it
     * @throws ConfigException if the settings do not fit the platform, or a document cannot be used
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
