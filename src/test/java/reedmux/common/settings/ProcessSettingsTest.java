package reedmux.common.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Settings files, good and bad. */
public class ProcessSettingsTest {
    private static final String GOOD = """
            node = "edge-1"
            ip = "10.1.0.21"   # ours
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
        ProcessSettings settings = ProcessSettings.parse("f", GOOD);
        assertEquals(settings.seeds().size(), 2);
        assertEquals(settings.durationMicros("envelope.settleMs", 1), 2_000_000);
        assertEquals(settings.socketAddress(SettingKeys.FRONT_SOCKET).getPort(), 8689);
        assertTrue(settings.coldStart());
    }

    /** What is changed, to what, and what the message has to name. */
    @DataProvider
    public Object[][] faults() {
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
    public void anErrorCarriesFileLineAndKey() {
        ProcessSettingsException error = expectThrows(
                ProcessSettingsException.class,
                () -> ProcessSettings.parse("settings.toml", GOOD.replace("coldStart = true", "coldStart = 3")));
        assertEquals(error.file(), "settings.toml");
        assertEquals(error.line(), 7);
        assertEquals(error.key(), SettingKeys.COLD_START);
        assertEquals(error.getMessage(), "settings.toml:7: coldStart is neither true nor false");
    }

    @Test(dataProvider = "faults")
    public void anInvalidValueIsReportedWithFileAndKey(String from, String to, String key) {
        ProcessSettingsException bad = expectThrows(ProcessSettingsException.class, () -> {
            ProcessSettings settings = ProcessSettings.parse("settings.toml", GOOD.replace(from, to));
            settings.socketAddress(SettingKeys.FRONT_SOCKET);
            settings.durationMicros("envelope.settleMs", 1);
        });
        assertTrue(
                bad.getMessage().startsWith("settings.toml") && bad.getMessage().contains(key), bad.getMessage());
    }
}
