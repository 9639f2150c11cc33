package reedmux.wire;

import java.util.HashMap;
import java.util.Map;
import reedmux.config.ConfigException;
import reedmux.config.SettingsReader;
import reedmux.policy.Gateway.Settings;

/** The settings of a {@code CONFIGURE} line, taken apart here and read where all configuration is. */
final class Options {
    private final Fields line;
    private final SettingsReader reader;

    Options(Fields line) throws Malformed {
        this.line = line;
        Map<String, String> values = new HashMap<>();
        for (String pair : line.rest()) {
            int equals = pair.indexOf('=');
            if (equals < 1) {
                throw line.malformed("not a setting: '" + pair + "'");
            }
            values.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
        reader = new SettingsReader("", values);
    }

    Settings settings() throws Malformed {
        try {
            return reader.settings();
        } catch (ConfigException e) {
            throw line.malformed(e.getMessage());
        }
    }
}
