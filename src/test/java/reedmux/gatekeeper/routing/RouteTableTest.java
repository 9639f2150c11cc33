package reedmux.gatekeeper.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.Chars;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that the route table selects the longest match and rejects ambiguous hosts and paths. */
final class RouteTableTest {
    private static final int INSPECT = 0;
    private static final int PRINT = 1;
    private static final int ARCHIVE = 2;

    private static RouteTable table() throws InvalidRouteException {
        return RouteTable.of(List.of(
                new ServiceRoute("inspect.example.org", "/", INSPECT, 1),
                new ServiceRoute("print.example.org", "/", PRINT, 2),
                new ServiceRoute("*.example.org", "/", ARCHIVE, 3),
                new ServiceRoute("*.print.example.org", "/labels", PRINT, 4),
                new ServiceRoute("*", "/print", PRINT, 5),
                new ServiceRoute("*", "/print/old", ARCHIVE, 6),
                new ServiceRoute("[::1]", "/", INSPECT, 7)));
    }

    @ParameterizedTest
    @CsvSource({
        "inspect.example.org,/check,0",
        "INSPECT.Example.ORG,/check,0",
        "inspect.example.org.,/check,0",
        "inspect.example.org:8080,/check,0",
        "inspect.example.org.:80,/check,0",
        "print.example.org,/x?a=/b;c,1",
        "a.b.example.org,/check,2",
        "example.org,/check,-1",
        "xexample.org,/check,-1",
        "x.print.example.org,/labels,1",
        "x.print.example.org,/labels/7?q,1",
        "x.print.example.org,/labelsx,-1",
        "x.print.example.org,/,-1",
        "other.org,/print,1",
        "other.org,/print/,1",
        "other.org,/printer,-1",
        "other.org,/print/old/1,2",
        "other.org,/print/older,1",
        "[::1]:80,/x,0",
        ",/print,1",
        "127.0.0.1,/print,1"
    })
    void longestMatchWins(String host, String target, int service) throws InvalidRouteException {
        assertEquals(service, table().find(host, target));
    }

    /** A malformed {@code Host} header must not route a request to the providers of another host. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                ".",
                "..",
                "inspect..example.org",
                ".inspect.example.org",
                "a@print.example.org",
                "print.example.org@x",
                "print.example.org:",
                "print.example.org:0",
                "print.example.org:99999",
                "print.example.org:80:80",
                "print.example.org:+80",
                "print.example.org,inspect.example.org",
                "print.example.org inspect.example.org",
                "print%2eexample.org",
                "pr\u0131nt.example.org",
                "print\uff0eexample.org",
                "print.example.org/",
                "http://print.example.org",
                "[::1",
                "::1",
                "[1]",
                "[::1]x",
                "[fe80::1%25eth0]",
                "print.example.org\t",
                " print.example.org",
                "print.example.org..",
                "*.example.org"
            })
    void malformedHostIsAmbiguous(String host) throws InvalidRouteException {
        assertEquals(RouteTable.AMBIGUOUS, table().find(host, "/check"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "*",
                "check",
                "//print",
                "/print//x",
                "/./print",
                "/x/../print",
                "/print/..",
                "/print/.",
                "/%2e%2e/print",
                "/x/%2E%2e/print",
                "/pr%69nt",
                "/print%2fold",
                "/print%5cold",
                "/print\\old",
                "/print;x=1",
                "/print;",
                "/print%3bx",
                "/print%",
                "/print%2",
                "/print%zz",
                "/print#x",
                "/pr int",
                "/print%00",
                "/print%0a",
                "/print%7f",
                "/pr\u00efnt",
                "http://print.example.org/x",
                "/print/%\uff11\uff11"
            })
    void malformedPathIsAmbiguous(String target) throws InvalidRouteException {
        assertEquals(RouteTable.AMBIGUOUS, table().find("other.org", target));
    }

    @Test
    void necessaryEscapesAreAccepted() throws InvalidRouteException {
        assertEquals(PRINT, table().find("other.org", "/print/%20%C3%A9%22"));
        assertEquals(PRINT, table().find("other.org", "/print/a?x=//..%2f;#"));
    }

    @Test
    void pathIsNotCheckedWithoutPathRoutes() throws InvalidRouteException {
        RouteTable table = RouteTable.of(List.of(new ServiceRoute("*", "/", INSPECT, 1)));
        assertEquals(INSPECT, table.find(null, "//any;thing/../goes"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "print.example.org|/|PRINT.example.org|/|the route in line 2 can never be reached: line 1 says the "
                        + "same of"
                        + " PRINT.example.org/",
                "*|/print|*|/print/|the route in line 2 can never be reached: line 1 says the same of */print/",
                "*.a.org|/x|*.A.org|/x|the route in line 2 can never be reached: line 1 says the same of *.A.org/x",
                "a.org|/|a.org:80|/|the route's host is no name without a port: a.org:80",
                "a.org|/|b.org.|/|the route's host is no name without a port: b.org.",
                "a.org|/|a.*.org|/|the route's host is no name without a port: a.*.org",
                "a.org|/|*.[::1]|/|nothing lies below an address: *.[::1]",
                "a.org|/|b.org|x|the route's path can be read in two ways, or is none: x",
                "a.org|/|b.org|/a/../b|the route's path can be read in two ways, or is none: /a/../b",
                "a.org|/|b.org|/a//b|the route's path can be read in two ways, or is none: /a//b",
                "a.org|/|b.org|/a?b|the route's path can be read in two ways, or is none: /a?b"
            })
    void invalidRoutesNameTheirLines(String host1, String path1, String host2, String path2, String message) {
        InvalidRouteException e = assertThrows(
                InvalidRouteException.class,
                () -> RouteTable.of(
                        List.of(new ServiceRoute(host1, path1, 0, 1), new ServiceRoute(host2, path2, 1, 2))));
        assertEquals(message, e.getMessage());
        assertEquals(2, e.line());
    }

    /** Compares the table with a linear search by the same rules, with routes and requests that often match. */
    @Property(tries = 10_000, seed = "41")
    void agreesWithLinearSearch(@ForAll long seed) throws InvalidRouteException {
        SplittableRandom random = new SplittableRandom(seed);
        List<ServiceRoute> routes = new ArrayList<>();
        Set<String> keys = new HashSet<>();
        for (int i = random.nextInt(30); i > 0; i--) {
            int kind = random.nextInt(4);
            String host = kind == 0 ? "*" : kind == 1 ? "*." + host(random) : host(random);
            String path = path(random);
            if (keys.add(host.toLowerCase(Locale.ROOT) + path)) {
                routes.add(new ServiceRoute(host, path, routes.size(), routes.size() + 1));
            }
        }
        RouteTable table = RouteTable.of(routes);
        for (int i = 0; i < 40; i++) {
            String host = host(random);
            String target = path(random) + (random.nextBoolean() ? "?q=/a" : "");
            assertEquals(linearSearch(routes, host, target), table.find(host, target), host + target + routes);
        }
    }

    private static String host(SplittableRandom random) {
        String host = "";
        for (int i = 1 + random.nextInt(3); i > 0; i--) {
            host += (host.isEmpty() ? "" : ".") + List.of("a", "b", "A", "ab").get(random.nextInt(4));
        }
        return host;
    }

    private static String path(SplittableRandom random) {
        String path = "";
        for (int i = random.nextInt(4); i > 0; i--) {
            path += '/' + List.of("x", "y", "xy").get(random.nextInt(3));
        }
        return path.isEmpty() ? "/" : path;
    }

    private static int linearSearch(List<ServiceRoute> routes, String host, String target) {
        String hostName = host.toLowerCase(Locale.ROOT);
        String selected = routes.stream()
                .map(route -> route.host().toLowerCase(Locale.ROOT))
                .distinct()
                .filter(pattern -> pattern.equals(hostName))
                .findAny()
                .orElse(null);
        if (selected == null) {
            selected = routes.stream()
                    .map(route -> route.host().toLowerCase(Locale.ROOT))
                    .distinct()
                    .filter(pattern -> pattern.startsWith("*.")
                            && hostName.endsWith(pattern.substring(1))
                            && hostName.length() > pattern.length() - 1)
                    .max((left, right) -> left.length() - right.length())
                    .orElse("*");
        }
        String path = target.split("\\?", 2)[0];
        int best = RouteTable.NONE;
        int longest = -1;
        for (ServiceRoute route : routes) {
            String prefix = route.path().equals("/") ? "" : route.path();
            boolean matches = path.equals(prefix) || path.startsWith(prefix + '/');
            if (route.host().toLowerCase(Locale.ROOT).equals(selected) && matches && prefix.length() > longest) {
                longest = prefix.length();
                best = route.service();
            }
        }
        return best;
    }

    /** A host with arbitrary characters inserted is found only if it is equivalent to the host of the route. */
    @Property(tries = 10_000, seed = "42")
    void malformedHostNeverMatchesAnotherHost(
            @ForAll
                    @AlphaChars
                    @Chars({'.', '-', ':', '@', '%', '[', ']', ' ', '\t', '\u00e9', '1', '8', '/'})
                    @StringLength(max = 12)
                    String inserted)
            throws InvalidRouteException {
        RouteTable table = RouteTable.of(List.of(new ServiceRoute("print.example.org", "/", PRINT, 1)));
        for (String host : List.of(
                inserted + "print.example.org", "print.example.org" + inserted, "print." + inserted + "example.org")) {
            String canonical = host.toLowerCase(Locale.ROOT).replaceFirst("\\.?(:[0-9]+)?$", "");
            if (!canonical.equals("print.example.org")) {
                assertNotEquals(PRINT, table.find(host, "/"), host);
            }
        }
    }

    @Test
    void findsEveryRouteOfALargeTable() throws InvalidRouteException {
        List<ServiceRoute> routes = new ArrayList<>();
        for (int i = 0; i < 100_000; i++) {
            routes.add(new ServiceRoute("h" + i % 1000 + ".example.org", "/p" + i / 1000, i, i + 1));
        }
        RouteTable table = RouteTable.of(routes);
        for (ServiceRoute route : routes) {
            assertEquals(route.service(), table.find(route.host(), route.path() + "/x"));
        }
        assertTrue(table.find("h1000.example.org", "/p1") == RouteTable.NONE);
    }
}
