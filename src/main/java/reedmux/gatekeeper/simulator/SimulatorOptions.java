package reedmux.gatekeeper.simulator;

import java.util.HashMap;
import java.util.Map;
import reedmux.gatekeeper.config.ConfigException;
import reedmux.gatekeeper.config.SettingsReader;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicySettings;

/** The settings of a {@code CONFIGURE} line: {@code KEY=VALUE} pairs, parsed like those of a configuration file. */
final class SimulatorOptions {
    private final SimulatorLine line;
    private final SettingsReader reader;

    SimulatorOptions(SimulatorLine line) throws SimulatorProtocolException {
        this.line = line;
        Map<String, String> values = new HashMap<>();
        for (String pair : line.remainingFields()) {
            int equals = pair.indexOf('=');
            if (equals < 1) {
                throw line.malformed("not a setting: '" + pair + "'");
            }
            values.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
        reader = new SettingsReader("", values);
    }

    /**
     * Parses the settings.
     *
     * @throws SimulatorProtocolException if a setting is invalid or settings contradict each other; the message
     *     contains the key
     */
    PolicySettings readSettings() throws SimulatorProtocolException {
        try {
            return reader.settings();
        } catch (ConfigException e) {
            throw line.malformed(e.getMessage());
        }
    }
}
