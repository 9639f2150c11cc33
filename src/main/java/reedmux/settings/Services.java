package reedmux.settings;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import reedmux.routing.Route;
import reedmux.routing.RouteException;
import reedmux.routing.RouteTable;
import reedmux.settings.ScriptException.Place;

/**
 * What the operators have set about services beside the platform's own.
 *
 * @param services the platform's own one first; empty where nothing is set
 * @param routes   where requests are led, by the services' numbers; null where nothing is set
 * @param sharing  what the services share
 */
public record Services(List<Service> services, RouteTable routes, Sharing sharing) {
    /** The name of the platform's own service. */
    public static final String DEFAULT = "default";

    static final Services NONE = new Services(List.of(), null, new Sharing(true, 0, 0));
    static final Declaration.Kind SERVICE = new Declaration.Kind(
            "service",
            true,
            List.of(
                    "name",
                    "config",
                    "discovery",
                    "weight",
                    "most_in_flight",
                    "most_queued",
                    "most_buffered",
                    "hostless"));
    static final Declaration.Kind ROUTE =
            new Declaration.Kind("route", true, List.of("host", "path", "classes", "service"));
    static final Declaration.Kind SHARING =
            new Declaration.Kind("sharing", true, List.of("fair", "in_flight", "buffered"));
    private static final int MOST = 1_000_000;
    private static final int MOST_BYTES = 1 << 30;
    private static final int MOST_SERVICES = 64;
    private static final int QUEUED = 1_024;

    /**
     * One service.
     *
     * @param config       a document in the platform's form, or null where the platform's settings hold
     * @param discovery    where its providers are told of; null where {@code config} says so
     * @param weight       its part of what is shared, against the others' weights
     * @param mostInFlight bound on its own requests in flight, beside its part; 0 for none
     * @param mostQueued   bound on its work that waits for the one thread
     * @param mostBuffered bound on the bytes that its requests hold; 0 for none
     * @param hostless     whether it serves requests without {@code Host}
     * @param place        where it is declared; null for the platform's own where nothing is set of it
     */
    public record Service(
            String name,
            String config,
            InetSocketAddress discovery,
            double weight,
            int mostInFlight,
            int mostQueued,
            int mostBuffered,
            boolean hostless,
            Place place) {}

    /**
     * What all services share.
     *
     * @param fair     whether services take turns on the one thread
     * @param inFlight requests in flight over all services; 0 for as many as there may be connections
     * @param buffered bytes that these hold; 0 for what the program has room for
     */
    public record Sharing(boolean fair, int inFlight, int buffered) {}

    static Services of(String file, List<Declaration> declared) throws ScriptException {
        Keys shared = OperatorSettings.only(declared, "sharing");
        Map<String, Service> services = new LinkedHashMap<>();
        services.put(DEFAULT, new Service(DEFAULT, null, null, 1, 0, QUEUED, 0, true, null));
        boolean any = false;
        for (Declaration declaration : declared) {
            if (declaration.kind().equals("service")) {
                Service service = service(new Keys(declaration));
                Service before = services.put(service.name, service);
                if (before != null && before.place != null) {
                    throw new Fault(
                            declaration.place(),
                            "service " + service.name + " is declared twice, first in line " + before.place.line());
                }
                any = true;
            }
        }
        if (services.size() > MOST_SERVICES) {
            throw new ScriptException(file, new Place(1, 1), "there are more than " + MOST_SERVICES + " services");
        }
        List<String> numbers = new ArrayList<>(services.keySet());
        List<Route> routes = new ArrayList<>();
        boolean[] reached = new boolean[numbers.size() + 1];
        for (Declaration declaration : declared) {
            if (declaration.kind().equals("route")) {
                routes.addAll(routes(new Keys(declaration), declaration.place(), numbers, reached));
            }
        }
        if (!any && routes.isEmpty()) {
            return NONE;
        }
        for (Service service : services.values()) {
            if (!reached[numbers.indexOf(service.name)] && !service.name.equals(DEFAULT)) {
                throw new Fault(
                        service.place, "service " + service.name + " can never be reached: no route" + " leads to it");
            }
        }
        if (routes.stream()
                .noneMatch(route -> route.host().equals("*") && route.path().equals("/"))) {
            routes.add(new Route("*", "/", 0, 1));
        }
        Sharing sharing = shared == null
                ? NONE.sharing
                : new Sharing(
                        shared.flag("fair", true),
                        shared.whole("in_flight", 1, MOST, 0),
                        shared.whole("buffered", 1 << 16, MOST_BYTES, 0));
        try {
            return new Services(List.copyOf(services.values()), RouteTable.of(routes), sharing);
        } catch (RouteException e) {
            throw new ScriptException(file, new Place(e.line(), 1), e.getMessage());
        }
    }

    private static Service service(Keys keys) {
        String name = keys.name("name");
        boolean main = name.equals(DEFAULT);
        for (String key : List.of("config", "discovery")) {
            if (main && keys.has(key)) {
                throw keys.bad(key, "is told by the platform for " + DEFAULT);
            }
        }
        if (!main && !keys.has("config") && !keys.has("discovery")) {
            throw keys.bad("discovery", "is missing, and there is no config that could tell it");
        }
        return new Service(
                name,
                keys.text("config", null),
                keys.has("discovery") ? keys.address("discovery") : null,
                keys.number("weight", 0.01, 100, 1),
                keys.whole("most_in_flight", 1, MOST, 0),
                keys.whole("most_queued", 1, MOST, QUEUED),
                keys.whole("most_buffered", 1024, MOST_BYTES, 0),
                keys.flag("hostless", main),
                keys.place("name"));
    }

    private static List<Route> routes(Keys keys, Place place, List<String> numbers, boolean[] reached) {
        if (!keys.tells("service")) {
            throw keys.bad("service", "is missing; None serves nobody");
        }
        int service = numbers.size(); // nobody
        if (keys.has("service")) {
            service = numbers.indexOf(keys.name("service"));
            if (service < 0) {
                throw keys.bad("service", "names no service that is declared: " + keys.name("service"));
            }
        }
        reached[service] = true;
        String host = keys.text("host", "*");
        Set<String> classes = keys.texts("classes");
        if (classes.isEmpty()) {
            return List.of(new Route(host, keys.text("path", "/"), service, place.line()));
        } else if (keys.has("path")) {
            throw keys.bad("path", "cannot be told beside classes, which are paths themselves");
        }
        List<Route> all = new ArrayList<>();
        for (String name : classes) {
            if (name.indexOf('/') >= 0) {
                throw keys.bad("classes", "holds a slash: " + name);
            }
            all.add(new Route(host, '/' + name, service, place.line()));
        }
        return all;
    }

    /** What was understood, a line each; none where nothing is set. */
    List<String> described() {
        List<String> lines = new ArrayList<>();
        for (Service service : services) {
            lines.add(String.format(
                    Locale.ROOT,
                    "service %s: weight %s, %s%s",
                    service.name,
                    service.weight,
                    service.name.equals(DEFAULT)
                            ? "the platform's own"
                            : service.config == null ? "the platform's settings" : "settings of " + service.config,
                    service.discovery == null
                            ? ""
                            : ", discovery at " + service.discovery.getHostString()
                                    + ':'
                                    + service.discovery.getPort()));
        }
        return lines;
    }
}
