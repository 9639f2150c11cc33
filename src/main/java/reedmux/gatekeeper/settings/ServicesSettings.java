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
import reedmux.gatekeeper.script.Declaration.DeclarationKind;
import reedmux.gatekeeper.script.ScriptException;
import reedmux.gatekeeper.script.ScriptException.ScriptPosition;
import reedmux.gatekeeper.script.UncheckedScriptException;

/**
 * What the operators have set about services beside the platform's own: {@code service(...)}, {@code route(...)} and
 * {@code sharing(...)}.
 *
 * @param services the platform's own one first; empty where nothing is set
 * @param routes   which service a request goes to, by the services' indices; null where nothing is set
 * @param sharing  what the services share
 */
public record ServicesSettings(List<ServiceSettings> services, RouteTable routes, SharingSettings sharing) {
    /** The name of the platform's own service. */
    public static final String DEFAULT_SERVICE = "default";

    static final ServicesSettings NONE = new ServicesSettings(List.of(), null, new SharingSettings(true, 0, 0));
    static final DeclarationKind SERVICE_KIND = new DeclarationKind(
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
    static final DeclarationKind ROUTE_KIND =
            new DeclarationKind("route", true, List.of("host", "path", "classes", "service"));
    static final DeclarationKind SHARING_KIND =
            new DeclarationKind("sharing", true, List.of("fair", "in_flight", "buffered"));

    private static final String ANY_HOST = "*";
    private static final String ANY_PATH = "/";
    private static final int DEFAULT_SERVICE_INDEX = 0;
    private static final int MAX_COUNT = 1_000_000;
    private static final int MAX_BYTES = 1 << 30;
    private static final int MIN_SERVICE_BYTES = 1_024;
    private static final int MIN_SHARED_BYTES = 1 << 16;
    private static final int MAX_SERVICES = 64;
    private static final int DEFAULT_MAX_QUEUED = 1_024;
    private static final double MIN_WEIGHT = 0.01;
    private static final double MAX_WEIGHT = 100;

    /**
     * One service.
     *
     * @param config            a document in the platform's form, or null where the platform's settings hold
     * @param discovery         where its providers are listed; null where {@code config} says so
     * @param weight            its share of what the services share, relative to the others' weights
     * @param maxInFlight       its own limit on requests in flight, besides its share; 0 for none
     * @param maxQueued         its limit on events that wait for the event loop
     * @param maxBufferedBytes  its own limit on the bytes that its requests buffer; 0 for none
     * @param servesWithoutHost whether it serves requests without {@code Host}
     * @param position          where it is declared; null for the platform's own if nothing is set of it
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
     * @param fair             whether services take turns on the event loop
     * @param maxInFlight      requests in flight over all services; 0 for as many as there may be connections
     * @param maxBufferedBytes bytes that these buffer; 0 for what the program has memory for
     */
    public record SharingSettings(boolean fair, int maxInFlight, int maxBufferedBytes) {}

    /** Reads the declarations about services; {@code file} is the name that errors give the script. */
    static ServicesSettings read(String file, List<Declaration> declarations) throws ScriptException {
        DeclarationReader sharing = OperatorSettings.singleDeclaration(declarations, SHARING_KIND);
        List<ServiceSettings> services = readServices(declarations);
        if (services.size() > MAX_SERVICES) {
            throw new ScriptException(file, ScriptPosition.START, "there are more than " + MAX_SERVICES + " services");
        }
        List<String> names = services.stream().map(ServiceSettings::name).toList();
        List<ServiceRoute> routes = readRoutes(declarations, names);
        boolean onlyImplicitDefault = services.size() == 1 && services.get(DEFAULT_SERVICE_INDEX).position == null;
        if (onlyImplicitDefault && routes.isEmpty()) {
            return NONE;
        }
        checkReachable(services, routes);
        if (routes.stream().noneMatch(ServicesSettings::matchesAllRequests)) {
            routes.add(new ServiceRoute(ANY_HOST, ANY_PATH, DEFAULT_SERVICE_INDEX, 1));
        }
        SharingSettings shared = sharing == null ? NONE.sharing : readSharing(sharing);
        try {
            return new ServicesSettings(services, RouteTable.of(routes), shared);
        } catch (InvalidRouteException e) {
            throw new ScriptException(file, new ScriptPosition(e.line(), 1), e.getMessage(), e);
        }
    }

    // ---- Services ----------------------------------------------------------------------------------
    private static List<ServiceSettings> readServices(List<Declaration> declarations) {
        Map<String, ServiceSettings> services = new LinkedHashMap<>();
        services.put(
                DEFAULT_SERVICE,
                new ServiceSettings(DEFAULT_SERVICE, null, null, 1, 0, DEFAULT_MAX_QUEUED, 0, true, null));
        for (Declaration declaration : declarations) {
            if (!declaration.kind().equals(SERVICE_KIND.name())) {
                continue;
            }
            ServiceSettings service = readService(new DeclarationReader(declaration));
            ServiceSettings previous = services.put(service.name, service);
            if (previous != null && previous.position != null) {
                throw new UncheckedScriptException(
                        declaration.position(),
                        "service " + service.name + " is declared twice, first in line " + previous.position.line());
            }
        }
        return List.copyOf(services.values());
    }

    private static ServiceSettings readService(DeclarationReader reader) {
        String name = reader.name("name");
        boolean isDefault = name.equals(DEFAULT_SERVICE);
        for (String key : List.of("config", "discovery")) {
            if (isDefault && reader.has(key)) {
                throw reader.error(key, "is told by the platform for " + DEFAULT_SERVICE);
            }
        }
        if (!isDefault && !reader.has("config") && !reader.has("discovery")) {
            throw reader.error("discovery", "is missing, and there is no config that could tell it");
        }
        return new ServiceSettings(
                name,
                reader.text("config", null),
                reader.has("discovery") ? reader.address("discovery") : null,
                reader.number("weight", MIN_WEIGHT, MAX_WEIGHT, 1),
                reader.integer("most_in_flight", 1, MAX_COUNT, 0),
                reader.integer("most_queued", 1, MAX_COUNT, DEFAULT_MAX_QUEUED),
                reader.integer("most_buffered", MIN_SERVICE_BYTES, MAX_BYTES, 0),
                reader.flag("hostless", isDefault),
                reader.position("name"));
    }

    private static SharingSettings readSharing(DeclarationReader reader) {
        return new SharingSettings(
                reader.flag("fair", true),
                reader.integer("in_flight", 1, MAX_COUNT, 0),
                reader.integer("buffered", MIN_SHARED_BYTES, MAX_BYTES, 0));
    }

    // ---- Routes ------------------------------------------------------------------------------------
    private static List<ServiceRoute> readRoutes(List<Declaration> declarations, List<String> services) {
        List<ServiceRoute> routes = new ArrayList<>();
        for (Declaration declaration : declarations) {
            if (declaration.kind().equals(ROUTE_KIND.name())) {
                int line = declaration.position().line();
                routes.addAll(readRoute(new DeclarationReader(declaration), line, services));
            }
        }
        return routes;
    }

    /** One declaration is several routes if it lists classes; the index after the last service stands for none. */
    private static List<ServiceRoute> readRoute(DeclarationReader reader, int line, List<String> services) {
        int service = readRouteService(reader, services);
        String host = reader.text("host", ANY_HOST);
        Set<String> classes = reader.texts("classes");
        if (classes.isEmpty()) {
            return List.of(new ServiceRoute(host, reader.text("path", ANY_PATH), service, line));
        } else if (reader.has("path")) {
            throw reader.error("path", "cannot be told beside classes, which are paths themselves");
        }
        List<ServiceRoute> routes = new ArrayList<>();
        for (String name : classes) {
            if (name.indexOf('/') >= 0) {
                throw reader.error("classes", "holds a slash: " + name);
            }
            routes.add(new ServiceRoute(host, '/' + name, service, line));
        }
        return routes;
    }

    private static int readRouteService(DeclarationReader reader, List<String> services) {
        if (!reader.isDeclared("service")) {
            throw reader.error("service", "is missing; None serves nobody");
        } else if (!reader.has("service")) {
            return services.size();
        }
        String name = reader.name("service");
        int index = services.indexOf(name);
        if (index < 0) {
            throw reader.error("service", "names no service that is declared: " + name);
        }
        return index;
    }

    private static void checkReachable(List<ServiceSettings> services, List<ServiceRoute> routes) {
        for (int i = 0; i < services.size(); i++) {
            int index = i;
            ServiceSettings service = services.get(index);
            boolean reached = routes.stream().anyMatch(route -> route.service() == index);
            if (!reached && !service.name.equals(DEFAULT_SERVICE)) {
                throw new UncheckedScriptException(
                        service.position, "service " + service.name + " can never be reached: no route leads to it");
            }
        }
    }

    private static boolean matchesAllRequests(ServiceRoute route) {
        return route.host().equals(ANY_HOST) && route.path().equals(ANY_PATH);
    }

    // ---- Description -------------------------------------------------------------------------------
    /** The settings in words, a line each; none where nothing is set. */
    List<String> describe() {
        return services.stream().map(ServicesSettings::describe).toList();
    }

    private static String describe(ServiceSettings service) {
        String source = "the platform's settings";
        if (service.name.equals(DEFAULT_SERVICE)) {
            source = "the platform's own";
        } else if (service.config != null) {
            source = "settings of " + service.config;
        }
        InetSocketAddress discovery = service.discovery;
        String where =
                discovery == null ? "" : ", discovery at " + discovery.getHostString() + ':' + discovery.getPort();
        return String.format(Locale.ROOT, "service %s: weight %s, %s%s", service.name, service.weight, source, where);
    }
}
