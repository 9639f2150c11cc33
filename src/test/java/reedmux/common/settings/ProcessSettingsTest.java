package reedmux.common.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Parsing of valid and invalid settings files. */
public class ProcessSettingsTest {
    private static final String VALID_SETTINGS = """
            node = "edge-1"
            ip = "10.1.0.21"   # a comment
            zone = "hall-a"
            portRange = [7360,7375]
            seeds = ["10.1.0.24:8683",
              "10.2.0.24:8683"]
            coldStart = true
            brandNew = [ 1, "two" ]
            [sockets]
            front = "10.1.0.21:8689"
            [envelope]
            settleMs = 2000
            """;

    @Test
    public void unknownKeysAreIgnored() throws ProcessSettingsException {
        ProcessSettings settings = ProcessSettings.parse("f", VALID_SETTINGS);
        assertEquals(settings.seeds().size(), 2);
        assertEquals(settings.durationMicros("envelope.settleMs", 1), 2_000_000);
        assertEquals(settings.socketAddress(SettingKeys.FRONT_SOCKET).getPort(), 8689);
        assertTrue(settings.coldStart());
    }

    /** Each row: the part of the valid file to replace, its replacement, and the key that the message must name. */
    @DataProvider
    public Object[][] invalidSettings() {
        return new Object[][] {
            {"node = \"edge-1\"", "", "node"},
            {"portRange = [7360,7375]", "portRange = [7375,7360]", "portRange"},
            {"\"10.1.0.24:8683\"", "\"somewhere\"", "seeds"},
            {"coldStart = true", "coldStart = 3", "coldStart"},
            {"coldStart = true", "coldStart = maybe", "coldStart"},
            {"coldStart = true", "coldStart", "coldStart"},
            {"zone = \"hall-a\"", "zone = \"hall-a", "zone"},
            {"zone = \"hall-a\"", "zone = \"hall-a\"\nzone = \"b\"", "zone"},
            {"front = \"10.1.0.21:8689\"", "front = \"8689\"", "sockets.front"},
            {"settleMs = 2000", "settleMs = -1", "envelope.settleMs"}
        };
    }

    @Test
    public void exceptionCarriesFileLineAndKey() {
        ProcessSettingsException error = expectThrows(
                ProcessSettingsException.class,
                () -> ProcessSettings.parse(
                        "settings.toml", VALID_SETTINGS.replace("coldStart = true", "coldStart = 3")));
        assertEquals(error.file(), "settings.toml");
        assertEquals(error.line(), 7);
        assertEquals(error.key(), SettingKeys.COLD_START);
        assertEquals(error.getMessage(), "settings.toml:7: coldStart is neither true nor false");
    }

    @Test(dataProvider = "invalidSettings")
    public void invalidValueIsReportedWithFileAndKey(String original, String replacement, String key) {
        ProcessSettingsException error = expectThrows(ProcessSettingsException.class, () -> {
            ProcessSettings settings =
                    ProcessSettings.parse("settings.toml", VALID_SETTINGS.replace(original, replacement));
            settings.socketAddress(SettingKeys.FRONT_SOCKET);
            settings.durationMicros("envelope.settleMs", 1);
        });
        assertTrue(
                error.getMessage().startsWith("settings.toml")
                        && error.getMessage().contains(key),
                error.getMessage());
    }
}
