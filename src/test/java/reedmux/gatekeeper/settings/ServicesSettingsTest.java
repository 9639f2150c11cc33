package reedmux.gatekeeper.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reedmux.gatekeeper.routing.RouteTable;
import reedmux.gatekeeper.script.ScriptException;

/** Reading of services and routes in the operators' file, and the messages for invalid declarations. */
final class ServicesSettingsTest {
    private static final String VALID_SCRIPT = """
            service(name = "print", discovery = "127.0.0.1:7001", weight = 0.5)
            service(name = "archive", config = "archive.json", most_in_flight = 10)
            route(host = "print.example.org", service = "print")
            route(classes = ["store", "fetch"], service = "archive")
            route(host = "*.old.example.org", service = None)
            """;

    private static ServicesSettings parse(String script) throws ScriptException {
        return OperatorSettings.parse("x.star", script).services();
    }

    @Test
    void readsServicesAndRoutes() throws ScriptException {
        ServicesSettings settings = parse(VALID_SCRIPT);
        assertEquals(
                List.of("default", "print", "archive"),
                settings.services().stream()
                        .map(ServicesSettings.ServiceSettings::name)
                        .toList());
        assertEquals(0.5, settings.services().get(1).weight());
        assertEquals("archive.json", settings.services().get(2).config());
        assertEquals(10, settings.services().get(2).maxInFlight());
        assertEquals(1, settings.routes().find("PRINT.example.org:80", "/check"));
        assertEquals(2, settings.routes().find("x.example.org", "/store/1"));
        assertEquals(0, settings.routes().find("x.example.org", "/storehouse"));
        assertEquals(0, settings.routes().find(null, "/check"));
        assertEquals(
                3,
                settings.routes().find("a.old.example.org", "/check"),
                "the index after the last service stands for no service");
        assertEquals(RouteTable.AMBIGUOUS, settings.routes().find("x.example.org", "/store/../check"));
        assertTrue(settings.services().get(0).servesWithoutHost());
        assertTrue(!settings.services().get(1).servesWithoutHost());
    }

    @Test
    void readsTheExampleFile() throws ScriptException {
        ServicesSettings settings =
                OperatorSettings.read(Path.of("deploy/services.star")).services();
        assertEquals(
                List.of("default", "print", "archive"),
                settings.services().stream()
                        .map(ServicesSettings.ServiceSettings::name)
                        .toList());
        assertEquals(2, settings.routes().find("archive.example.org", "/check"));
        assertEquals(
                3,
                OperatorSettings.read(Path.of("deploy/services.star"))
                        .describe()
                        .size());
    }

    @Test
    void scriptWithoutServicesHasNoRouteTable() throws ScriptException {
        assertNull(parse("# nothing\n").routes());
        assertEquals(List.of(), parse("# nothing\n").services());
        assertEquals(
                2,
                parse("service(name = \"default\", weight = 2)\n")
                        .services()
                        .get(0)
                        .weight());
        assertEquals(
                "x.star:1:28: service default is declared twice, first in line 1",
                assertThrows(
                                ScriptException.class,
                                () -> parse("service(name = \"default\"); " + "service(name = \"default\")\n"))
                        .getMessage());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "weight = 0.5|weight = 0|x.star:1:55: service.weight is under 0.01: 0",
                "name = \"print\"|name = \"Print\"|x.star:1:9: service.name is not a name of small letters,"
                        + " digits and"
                        + " '-': Print",
                "name = \"print\"|name = \"archive\"|x.star:2:1: service archive is declared twice, first in line 1",
                "name = \"print\"|name = \"default\"|x.star:1:27: service.discovery is told by the platform for"
                        + " default",
                "discovery = \"127.0.0.1:7001\", |``|x.star:1:1: service.discovery is missing, and there is no"
                        + " config that"
                        + " could tell it",
                "service = \"print\"|service = \"prints\"|x.star:3:35: route.service names no service that is"
                        + " declared:"
                        + " prints",
                ", service = \"print\"|``|x.star:3:1: route.service is missing; None serves nobody",
                "service = \"print\"|service = \"archive\"|x.star:1:9: service print can never be reached: no"
                        + " route leads"
                        + " to it",
                "[\"store\", \"fetch\"]|[\"sto/re\"]|x.star:4:7: route.classes holds a slash: sto/re",
                "[\"store\", \"fetch\"]|[\"store\", \"store\"]|x.star:4:7: route.classes names store twice",
                "classes =|path = \"/x\", classes =|x.star:4:7: route.path cannot be told beside classes, which"
                        + " are paths"
                        + " themselves",
                "*.old.example.org|print.example.org|x.star:5:1: the route in line 5 can never be reached: line"
                        + " 3 says"
                        + " the same of print.example.org/",
                "*.old.example.org|old.example.org:80|x.star:5:1: the route's host is no name without a port:"
                        + " old.example.org:80",
                "most_in_flight = 10|most_in_flight = 0|x.star:2:52: service.most_in_flight is under 1: 0",
                "most_in_flight = 10|hostless = 1|x.star:2:52: service.hostless is neither True nor False: 1"
            })
    void errorsNamePositionAndCause(String original, String replacement, String message) {
        assertTrue(VALID_SCRIPT.contains(original), original);
        String script = VALID_SCRIPT.replace(original, replacement == null ? "" : replacement);
        assertEquals(
                message,
                assertThrows(ScriptException.class, () -> parse(script)).getMessage());
    }
}
