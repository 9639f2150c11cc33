package reedmux.gatekeeper.settings;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import reedmux.gatekeeper.routing.InvalidRouteException;
import reedmux.gatekeeper.routing.RouteTable;
import reedmux.gatekeeper.routing.ServiceRoute;
import reedmux.gatekeeper.script.Declaration;
import reedmux.gatekeeper.script.ScriptException;
import reedmux.gatekeeper.script.ScriptException.ScriptPosition;
import reedmux.gatekeeper.script.ScriptFaultException;

/**
 * What the operators have set about services beside the platform's own.
 *
 * @param services the platform's own one first; empty where nothing is set
 * @param routes   where requests are led, by the services' numbers; null where nothing is set
 * @param sharing  what the services share
 */
public record ServicesSettings(List<ServiceSettings> services, RouteTable routes, SharingSettings sharing) {
    /** The name of the platform's own service. */
    public static final String DEFAULT_SERVICE = "default";

    static final ServicesSettings NONE = new ServicesSettings(List.of(), null, new SharingSettings(true, 0, 0));
    static final Declaration.DeclarationKind SERVICE_KIND = new Declaration.DeclarationKind(
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
    static final Declaration.DeclarationKind ROUTE_KIND =
            new Declaration.DeclarationKind("route", true, List.of("host", "path", "classes", "service"));
    static final Declaration.DeclarationKind SHARING_KIND =
            new Declaration.DeclarationKind("sharing", true, List.of("fair", "in_flight", "buffered"));
    private static final int MAX_COUNT = 1_000_000;
    private static final int MAX_BYTES = 1 << 30;
    private static final int MAX_SERVICES = 64;
    private static final int DEFAULT_MAX_QUEUED = 1_024;

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
    public record ServiceSettings(
            String name,
            String config,
            InetSocketAddress discovery,
            double weight,
            int maxInFlight,
            int maxQueued,
            int maxBufferedBytes,
            boolean servesWithoutHost,
            ScriptPosition position) {}

    /**
     * What all services share.
     *
     * @param fair     whether services take turns on the one thread
     * @param inFlight requests in flight over all services; 0 for as many as there may be connections
     * @param buffered bytes that these hold; 0 for what the program has room for
     */
    public record SharingSettings(boolean fair, int maxInFlight, int maxBufferedBytes) {}

    static ServicesSettings of(String file, List<Declaration> declared) throws ScriptException {
        DeclarationReader shared = OperatorSettings.singleDeclaration(declared, "sharing");
        Map<String, ServiceSettings> services = new LinkedHashMap<>();
        services.put(
                DEFAULT_SERVICE,
                new ServiceSettings(DEFAULT_SERVICE, null, null, 1, 0, DEFAULT_MAX_QUEUED, 0, true, null));
        boolean any = false;
        for (Declaration declaration : declared) {
            if (declaration.kind().equals("service")) {
                ServiceSettings service = readService(new DeclarationReader(declaration));
                ServiceSettings before = services.put(service.name, service);
                if (before != null && before.position != null) {
                    throw new ScriptFaultException(
                            declaration.position(),
                            "service " + service.name + " is declared twice, first in line " + before.position.line());
                }
                any = true;
            }
        }
        if (services.size() > MAX_SERVICES) {
            throw new ScriptException(
                    file, new ScriptPosition(1, 1), "there are more than " + MAX_SERVICES + " services");
        }
        List<String> numbers = new ArrayList<>(services.keySet());
        List<ServiceRoute> routes = new ArrayList<>();
        boolean[] reached = new boolean[numbers.size() + 1];
        for (Declaration declaration : declared) {
            if (declaration.kind().equals("route")) {
                routes.addAll(routes(new DeclarationReader(declaration), declaration.position(), numbers, reached));
            }
        }
        if (!any && routes.isEmpty()) {
            return NONE;
        }
        for (ServiceSettings service : services.values()) {
            if (!reached[numbers.indexOf(service.name)] && !service.name.equals(DEFAULT_SERVICE)) {
                throw new ScriptFaultException(
                        service.position,
                        "service " + service.name + " can never be reached: no route" + " leads to it");
            }
        }
        if (routes.stream()
                .noneMatch(route -> route.host().equals("*") && route.path().equals("/"))) {
            routes.add(new ServiceRoute("*", "/", 0, 1));
        }
        SharingSettings sharing = shared == null
                ? NONE.sharing
                : new SharingSettings(
                        shared.flag("fair", true),
                        shared.integer("in_flight", 1, MAX_COUNT, 0),
                        shared.integer("buffered", 1 << 16, MAX_BYTES, 0));
        try {
            return new ServicesSettings(List.copyOf(services.values()), RouteTable.of(routes), sharing);
        } catch (InvalidRouteException e) {
            throw new ScriptException(file, new ScriptPosition(e.line(), 1), e.getMessage());
        }
    }

    private static ServiceSettings readService(DeclarationReader keys) {
        String name = keys.name("name");
        boolean main = name.equals(DEFAULT_SERVICE);
        for (String key : List.of("config", "discovery")) {
            if (main && keys.has(key)) {
                throw keys.error(key, "is told by the platform for " + DEFAULT_SERVICE);
            }
        }
        if (!main && !keys.has("config") && !keys.has("discovery")) {
            throw keys.error("discovery", "is missing, and there is no config that could tell it");
        }
        return new ServiceSettings(
                name,
                keys.text("config", null),
                keys.has("discovery") ? keys.address("discovery") : null,
                keys.number("weight", 0.01, 100, 1),
                keys.integer("most_in_flight", 1, MAX_COUNT, 0),
                keys.integer("most_queued", 1, MAX_COUNT, DEFAULT_MAX_QUEUED),
                keys.integer("most_buffered", 1024, MAX_BYTES, 0),
                keys.flag("hostless", main),
                keys.position("name"));
    }

    private static List<ServiceRoute> routes(
            DeclarationReader keys, ScriptPosition place, List<String> numbers, boolean[] reached) {
        if (!keys.isDeclared("service")) {
            throw keys.error("service", "is missing; None serves nobody");
        }
        int service = numbers.size(); // nobody
        if (keys.has("service")) {
            service = numbers.indexOf(keys.name("service"));
            if (service < 0) {
                throw keys.error("service", "names no service that is declared: " + keys.name("service"));
            }
        }
        reached[service] = true;
        String host = keys.text("host", "*");
        Set<String> classes = keys.texts("classes");
        if (classes.isEmpty()) {
            return List.of(new ServiceRoute(host, keys.text("path", "/"), service, place.line()));
        } else if (keys.has("path")) {
            throw keys.error("path", "cannot be told beside classes, which are paths themselves");
        }
        List<ServiceRoute> all = new ArrayList<>();
        for (String name : classes) {
            if (name.indexOf('/') >= 0) {
                throw keys.error("classes", "holds a slash: " + name);
            }
            all.add(new ServiceRoute(host, '/' + name, service, place.line()));
        }
        return all;
    }

    /** What was understood, a line each; none where nothing is set. */
    List<String> describe() {
        List<String> lines = new ArrayList<>();
        for (ServiceSettings service : services) {
            lines.add(String.format(
                    Locale.ROOT,
                    "service %s: weight %s, %s%s",
                    service.name,
                    service.weight,
                    service.name.equals(DEFAULT_SERVICE)
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
