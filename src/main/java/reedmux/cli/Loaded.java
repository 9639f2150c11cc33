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
record Loaded(Config config, OperatorSettings settings) {

    /** Reads the platform's configuration and, where {@code file} is not null, the operators' file. */
    static Loaded atStart(Map<String, String> environment, Path file, Clock clock) throws ConfigException {
        return checked(Config.load(environment, clock), file);
    }

    /** Reads both anew. */
    static Loaded again(Map<String, String> environment, Path file, Clock clock) throws ConfigException {
        return checked(Config.reload(environment, clock), file);
    }

    private static Loaded checked(Config config, Path file) throws ConfigException {
        if (file == null) {
            return new Loaded(config, OperatorSettings.NONE);
        }
        try {
            OperatorSettings settings = OperatorSettings.read(file);
            List<String> misfits = settings.misfits(config.settings().groupSize(),
                    config.settings().mostUnits() >= 1e9 ? 1 : config.settings().mostUnits(),
                            config.sockets());
            if (!misfits.isEmpty()) {
                throw new ConfigException(file + ": " + String.join("; ", misfits));
            }
            return new Loaded(config, settings);
        } catch (ScriptException e) {
            throw new ConfigException(e.getMessage());
        }
    }
}
