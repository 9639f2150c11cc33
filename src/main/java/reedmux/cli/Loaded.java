package reedmux.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import reedmux.config.Config;
import reedmux.config.ConfigException;
import reedmux.core.Clock;
import reedmux.settings.OperatorSettings;
import reedmux.settings.ScriptException;

/** All that a gatekeeper is told, by the platform and by its operators, read together or not at all. */
record Loaded(Config config, OperatorSettings settings, Serving services) {

    /** The platform's configuration alone. */
    static Loaded alone(Config config) {
        return new Loaded(config, OperatorSettings.NONE, Serving.alone(config));
    }

    /** Reads the platform's configuration and, where {@code file} is not null, the operators' file. */
    static Loaded atStart(Map<String, String> environment, Path file, Clock clock) throws ConfigException {
        return checked(Config.load(environment, clock), file, clock);
    }

    /** Reads both anew. */
    static Loaded again(Map<String, String> environment, Path file, Clock clock) throws ConfigException {
        return checked(Config.reload(environment, clock), file, clock);
    }

    private static Loaded checked(Config config, Path file, Clock clock) throws ConfigException {
        if (file == null) {
            return alone(config);
        }
        try {
            return of(config, OperatorSettings.read(file), file, clock);
        } catch (ScriptException e) {
            throw new ConfigException(e.getMessage());
        }
    }

    /** Both, with the documents that the operators' settings name beside {@code file}. */
    static Loaded of(Config config, OperatorSettings settings, Path file, Clock clock) throws ConfigException {
        List<String> misfits = settings.misfits(
                config.settings().groupSize(),
                config.settings().mostUnits() >= 1e9 ? 1 : config.settings().mostUnits(),
                config.sockets());
        if (!misfits.isEmpty()) {
            throw new ConfigException(file + ": " + String.join("; ", misfits));
        }
        return new Loaded(
                config,
                settings,
                Serving.of(config, settings.services(), file.toAbsolutePath().getParent(), clock));
    }
}
