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

/** What the operators' file may say of services and routes, and how it says what is wrong. */
final class ServicesSettingsTest {
    private static final String GOOD = """
            service(name = "print", discovery = "127.0.0.1:7001", weight = 0.5)
            service(name = "archive", config = "archive.json", most_in_flight = 10)
            route(host = "print.example.org", service = "print")
            route(classes = ["store", "fetch"], service = "archive")
            route(host = "*.old.example.org", service = None)
            """;

    private static ServicesSettings of(String script) throws ScriptException {
        return OperatorSettings.parse("x.star", script).services();
    }

    @Test
    void readsServicesAndRoutes() throws ScriptException {
        ServicesSettings read = of(GOOD);
        assertEquals(
                List.of("default", "print", "archive"),
                read.services().stream()
                        .map(ServicesSettings.ServiceSettings::name)
                        .toList());
        assertEquals(0.5, read.services().get(1).weight());
        assertEquals("archive.json", read.services().get(2).config());
        assertEquals(10, read.services().get(2).maxInFlight());
        assertEquals(1, read.routes().find("PRINT.example.org:80", "/check"));
        assertEquals(2, read.routes().find("x.example.org", "/store/1"));
        assertEquals(0, read.routes().find("x.example.org", "/storehouse"));
        assertEquals(0, read.routes().find(null, "/check"));
        assertEquals(3, read.routes().find("a.old.example.org", "/check"), "the last number is nobody's");
        assertEquals(RouteTable.AMBIGUOUS, read.routes().find("x.example.org", "/store/../check"));
        assertTrue(read.services().get(0).servesWithoutHost());
        assertTrue(!read.services().get(1).servesWithoutHost());
    }

    @Test
    void readsTheExampleFile() throws ScriptException {
        ServicesSettings read =
                OperatorSettings.read(Path.of("deploy/services.star")).services();
        assertEquals(
                List.of("default", "print", "archive"),
                read.services().stream()
                        .map(ServicesSettings.ServiceSettings::name)
                        .toList());
        assertEquals(2, read.routes().find("archive.example.org", "/check"));
        assertEquals(
                3,
                OperatorSettings.read(Path.of("deploy/services.star"))
                        .describe()
                        .size());
    }

    @Test
    void withoutServicesThereIsNoTable() throws ScriptException {
        assertNull(of("# nothing\n").routes());
        assertEquals(List.of(), of("# nothing\n").services());
        assertEquals(
                2,
                of("service(name = \"default\", weight = 2)\n")
                        .services()
                        .get(0)
                        .weight());
        assertEquals(
                "x.star:1:28: service default is declared twice, first in line 1",
                assertThrows(
                                ScriptException.class,
                                () -> of("service(name = \"default\"); " + "service(name = \"default\")\n"))
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
    void errorsNamePositionAndCause(String from, String to, String message) {
        assertTrue(GOOD.contains(from), from);
        String script = GOOD.replace(from, to == null ? "" : to);
        assertEquals(
                message, assertThrows(ScriptException.class, () -> of(script)).getMessage());
    }
}
