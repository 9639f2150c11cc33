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
 * The operators' settings for services in addition to the platform's own, declared with {@code service(...)},
 * {@code route(...)} and {@code sharing(...)}.
 *
 * @param services all services, the platform's own first; empty if the operators declared neither services nor routes
 * @param routes   the table that maps requests to the indices of services; null if {@code services} is empty
 * @param sharing  the resources that the services share
 */
public record ServicesSettings(List<ServiceSettings> services, RouteTable routes, SharingSettings sharing) {
    /** The name of the service that the platform's configuration describes. */
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
     * The settings of one service.
     *
     * @param config            a document in the platform's format, or null if the platform's settings apply
     * @param discovery         the address from which its providers are requested; null if {@code config} sets it
     * @param weight            its share of the shared resources, relative to the weights of the other services
     * @param maxInFlight       its own limit on in-flight requests, in addition to its share; 0 for no limit
     * @param maxQueued         its limit on events that are queued for the event loop
     * @param maxBufferedBytes  its own limit on the bytes that its requests buffer; 0 for no limit
     * @param servesWithoutHost whether it serves requests without a {@code Host} header
     * @param position          the position of its declaration; null if the platform's own service is not declared
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
     * The limits on the resources that all services share.
     *
     * @param fair             whether services take turns on the event loop
     * @param maxInFlight      the maximum number of in-flight requests over all services; 0 for the connection limit
     * @param maxBufferedBytes the maximum number of bytes that these requests buffer; 0 for as many as memory allows
     */
    public record SharingSettings(boolean fair, int maxInFlight, int maxBufferedBytes) {}

    /** Reads the declarations about services; {@code file} is the file name for error messages. */
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

    /**
     * Reads one declaration, which defines a route for each class if it lists classes. A route without a service gets
     * the index after the last service.
     */
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
    /** Describes the settings in text, one line for each service; empty if there are no services. */
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
        String discoveryText =
                discovery == null ? "" : ", discovery at " + discovery.getHostString() + ':' + discovery.getPort();
        return String.format(
                Locale.ROOT, "service %s: weight %s, %s%s", service.name, service.weight, source, discoveryText);
    }
}
