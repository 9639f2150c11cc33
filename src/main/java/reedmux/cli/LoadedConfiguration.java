package reedmux.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import reedmux.common.time.MonotonicClock;
import reedmux.gatekeeper.config.ConfigException;
import reedmux.gatekeeper.config.GatekeeperConfig;
import reedmux.gatekeeper.script.ScriptException;
import reedmux.gatekeeper.settings.OperatorSettings;

/** All that a gatekeeper is told, by the platform and by its operators, read together or not at all. */
public record LoadedConfiguration(GatekeeperConfig config, OperatorSettings settings, ServiceCatalog services) {

    /** The platform's configuration alone. */
    static LoadedConfiguration platformOnly(GatekeeperConfig config) {
        return new LoadedConfiguration(config, OperatorSettings.NONE, ServiceCatalog.platformOnly(config));
    }

    /** Reads the platform's configuration and, where {@code file} is not null, the operators' file. */
    static LoadedConfiguration load(Map<String, String> environment, Path file, MonotonicClock clock)
            throws ConfigException {
        return withOperatorSettings(GatekeeperConfig.load(environment, clock), file, clock);
    }

    /** Reads both anew. */
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

    /** Both, with the documents that the operators' settings name beside {@code file}. */
    static LoadedConfiguration of(GatekeeperConfig config, OperatorSettings settings, Path file, MonotonicClock clock)
            throws ConfigException {
        List<String> misfits = settings.platformConflicts(
                config.settings().groupSize(),
                config.settings().maxUnits() >= 1e9 ? 1 : config.settings().maxUnits(),
                config.maxDescriptors());
        if (!misfits.isEmpty()) {
            throw new ConfigException(file + ": " + String.join("; ", misfits));
        }
        return new LoadedConfiguration(
                config,
                settings,
                ServiceCatalog.of(
                        config, settings.services(), file.toAbsolutePath().getParent(), clock));
    }
}
