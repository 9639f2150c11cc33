package reedmux.gatekeeper.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reedmux.gatekeeper.script.ScriptException;

/** Reading of region declarations in the operators' file, and the messages for invalid ones. */
final class OperatorSettingsTest {
    private static final String VALID_SCRIPT = """
            region(name = "east", listen = "127.0.0.1:7001", takes_from = ["west"])
            last_resort(region = "west", gateways = ["127.0.0.1:7002"],
                        budget = budget(share = 0.1, rate = 5, burst = 30), margin = "1.5ms")
            """;

    private static String error(String script) {
        return assertThrows(ScriptException.class, () -> OperatorSettings.parse("x.star", script))
                .getMessage();
    }

    @Test
    void readsTheExampleFile() throws ScriptException {
        OperatorSettings settings = OperatorSettings.read(Path.of("deploy/east.star"));
        assertEquals("east", settings.region().rules().name());
        assertEquals(Set.of("west"), settings.region().rules().acceptsFrom());
        assertEquals(
                List.of("127.0.2.1:7100", "127.0.2.2:7100"),
                settings.region().rules().target().gateways());
        assertEquals(1_000_000, settings.region().rules().remoteLimits().minBackoffMicros());
        assertEquals(20_000, settings.region().rules().target().marginMicros());
        assertEquals(List.of(), settings.platformConflicts(3, 8, 1024));
    }

    @Test
    void emptyFileSetsNothing() throws ScriptException {
        assertNull(OperatorSettings.parse("x.star", "# nothing\n").region());
        assertEquals(List.of("nothing is set"), OperatorSettings.NONE.describe());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "share = 0.1|share = -0.1|x.star:3:29: budget.share is under 0: -0.1",
                "share = 0.1|share = 1.5|x.star:3:29: budget.share is over 1: 1.5",
                "rate = 5|rate = -5|x.star:3:42: budget.rate is under 0: -5",
                "rate = 5|rate = \"5\"|x.star:3:42: budget.rate is not a number: 5",
                "rate = 5, |``|x.star:3:22: budget.rate is missing",
                "rate = 5|rat = 5|x.star:3:42: budget has no key 'rat', did you mean 'rate'?",
                "region = \"west\"|region = \"east\"|x.star:2:13: last_resort.region names our own region, east",
                "takes_from = [\"west\"]|takes_from = [\"east\"]|x.star:1:50: region.takes_from names our own "
                        + "region, east",
                "takes_from = [\"west\"]|takes_from = \"west\"|x.star:1:50: region.takes_from is not a list: west",
                "listen = \"127.0.0.1:7001\", |``|x.star:1:1: region.listen is missing, but takes_from names regions "
                        + "that would connect there",
                "name = \"east\"|name = \"East, west\"|x.star:1:8: region.name is not a name of small letters, "
                        + "digits and '-': East, west",
                "127.0.0.1:7002|west.example.org:1|x.star:2:30: last_resort.gateways is not an address:port: "
                        + "west.example.org:1",
                "[\"127.0.0.1:7002\"]|[]|x.star:2:30: last_resort.gateways is empty",
                "[\"127.0.0.1:7002\"]|[\"1.1.1.1:1\", \"1.1.1.1:1\"]|x.star:2:30: last_resort.gateways names "
                        + "1.1.1.1:1 twice",
                "budget(|visitors(|x.star:3:31: visitors has no key 'share'",
                "1.5ms|15|x.star:3:65: last_resort.margin is not a time with a unit, as in \"250ms\" or \"2s\": 15",
                "1.5ms|11s|x.star:3:65: last_resort.margin lies outside of 0.0 to 10000.0 ms: 11s",
                "last_resort|last_resrot|x.star:2:1: unknown name 'last_resrot', did you mean 'last_resort'?"
            })
    void errorsNameTheKey(String original, String replacement, String expected) {
        assertTrue(VALID_SCRIPT.contains(original), original);
        assertEquals(expected, error(VALID_SCRIPT.replace(original, replacement)));
    }

    @Test
    void duplicateDeclarationsAreRejected() {
        assertEquals(
                "x.star:4:1: region is declared twice, first in line 1", error(VALID_SCRIPT + "region(name = \"a\")"));
        assertEquals(
                "x.star:1:13: last_resort.region needs a region(...) that tells our own name",
                error("last_resort(region = \"west\")"));
    }

    @Test
    void reportsConflictsWithThePlatform() throws ScriptException {
        List<String> conflicts = OperatorSettings.parse("x.star", VALID_SCRIPT).platformConflicts(10, 8, 512);
        assertEquals(
                List.of(
                        "budget.burst of 30.0 is 3.0 for each of 10 gatekeepers, less than one request "
                                + "may take:"
                                + " 8.0",
                        "visitors.burst of 40.0 is 4.0 for each of 10 gatekeepers, less than one request "
                                + "may take:"
                                + " 8.0",
                        "region.connections_in and connections_out are 96 together, more than a tenth of "
                                + "512"
                                + " descriptors"),
                conflicts);
    }
}
