package reedmux.gatekeeper.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import reedmux.common.http1.HostName;

/**
 * Maps a host and a path to a service. An exact host takes precedence over {@code *.} patterns, a longer pattern over a
 * shorter one, and {@code *} has the lowest precedence. Among the routes of the selected host, the longest matching
 * path prefix wins. If none of them matches, no service is found, even if a route for {@code *} would match: only the
 * routes of the selected host are considered.
 *
 * <p>Immutable and thread-safe. A lookup reads the host from its end and the path from its beginning, each character
 * once. It looks up the FNV-1a hashes of host suffixes and path prefixes in two hash tables with open addressing, and
 * allocates nothing.
 */
public final class RouteTable {
    /** The result if no route matches. */
    public static final int NONE = -1;
    /** The result if the host or the path is ambiguous or malformed. */
    public static final int AMBIGUOUS = -2;

    private static final int FNV_PRIME = 0x01000193;
    private static final int FNV_OFFSET_BASIS = 0x811C9DC5;
    private static final int ANY_HOST = 0;

    /** Host patterns in lower case. A wildcard pattern is stored without its {@code *}, so it begins with a dot. */
    private final String[] hosts;

    private final int[] hostIds;
    /** Paths without trailing slash; the id of the host and the service of each are in the parallel arrays. */
    private final String[] paths;

    private final int[] pathHostIds;
    private final int[] services;
    private final boolean hasPathRoutes;
    private final int maxPathLength;

    private RouteTable(Map<String, Integer> idsByHost, List<ServiceRoute> routes) {
        hosts = new String[tableSize(idsByHost.size())];
        hostIds = new int[hosts.length];
        idsByHost.forEach((host, id) -> {
            int slot = slot(hash(host, 0, host.length()), hosts.length);
            while (hosts[slot] != null) {
                slot = slot + 1 & hosts.length - 1;
            }
            hosts[slot] = host;
            hostIds[slot] = id;
        });
        paths = new String[tableSize(routes.size())];
        pathHostIds = new int[paths.length];
        services = new int[paths.length];
        int longestPath = 0;
        boolean anyPath = false;
        for (ServiceRoute route : routes) {
            String path = withoutTrailingSlash(route.path());
            int hostId = idsByHost.get(hostPattern(route.host()));
            int slot = slot(hash(path, hostId), paths.length);
            while (paths[slot] != null) {
                slot = slot + 1 & paths.length - 1;
            }
            paths[slot] = path;
            pathHostIds[slot] = hostId;
            services[slot] = route.service();
            longestPath = Math.max(longestPath, path.length());
            anyPath |= !path.isEmpty();
        }
        maxPathLength = longestPath;
        hasPathRoutes = anyPath;
    }

    /**
     * Compiles the routes into a table.
     *
     * @throws InvalidRouteException if a route is malformed, or has the same host and path as an earlier one and
     *     therefore can never be reached
     */
    public static RouteTable of(List<ServiceRoute> routes) throws InvalidRouteException {
        Map<String, Integer> idsByHost = new LinkedHashMap<>();
        idsByHost.put("*", ANY_HOST);
        Map<String, ServiceRoute> routesByKey = new HashMap<>();
        List<ServiceRoute> validRoutes = new ArrayList<>();
        for (ServiceRoute route : routes) {
            validate(route);
            String pattern = hostPattern(route.host());
            idsByHost.putIfAbsent(pattern, idsByHost.size());
            ServiceRoute earlier = routesByKey.putIfAbsent(pattern + ' ' + withoutTrailingSlash(route.path()), route);
            if (earlier != null) {
                throw new InvalidRouteException(
                        route.line(),
                        "the route in line " + route.line()
                                + " can never be reached: line " + earlier.line() + " says the same of "
                                + route.host() + route.path());
            }
            validRoutes.add(route);
        }
        return new RouteTable(idsByHost, validRoutes);
    }

    private static void validate(ServiceRoute route) throws InvalidRouteException {
        String host = route.host();
        String name = host.startsWith("*.") ? host.substring(2) : host;
        if (!host.equals("*") && HostName.hostEnd(name) != name.length()) {
            throw new InvalidRouteException(route.line(), "the route's host is no name without a port: " + host);
        } else if (host.startsWith("*.") && name.startsWith("[")) {
            throw new InvalidRouteException(route.line(), "nothing lies below an address: " + host);
        }
        String path = withoutTrailingSlash(route.path());
        if (!route.path().startsWith("/") || !path.isEmpty() && UnambiguousPath.pathEnd(path) != path.length()) {
            throw new InvalidRouteException(
                    route.line(), "the route's path can be read in two ways, or is none: " + route.path());
        }
    }

    private static String hostPattern(String host) {
        String lower = host.toLowerCase(Locale.ROOT);
        return lower.startsWith("*.") ? lower.substring(1) : lower;
    }

    private static String withoutTrailingSlash(String path) {
        return path.endsWith("/") ? path.substring(0, path.length() - 1) : path;
    }

    private static int tableSize(int entries) {
        return Math.max(4, Integer.highestOneBit(Math.max(1, entries)) << 2);
    }

    private static int slot(int hash, int slots) {
        int mixed = hash * 0x9E3779B9;
        return (mixed ^ mixed >>> 15) & slots - 1;
    }

    /**
     * Returns the service of a request, or {@link #NONE} or {@link #AMBIGUOUS}.
     *
     * @param authority the value of the {@code Host} header, or null if there is none; such a request matches only
     *                  routes for {@code *}
     * @param target    the request target in origin form
     */
    public int find(String authority, String target) {
        int hostId = ANY_HOST;
        if (authority != null) {
            int end = HostName.hostEnd(authority);
            if (end == HostName.INVALID) {
                return AMBIGUOUS;
            }
            hostId = findHost(authority, end);
        }
        int end = 0;
        if (hasPathRoutes) {
            end = UnambiguousPath.pathEnd(target);
            if (end == UnambiguousPath.AMBIGUOUS) {
                return AMBIGUOUS;
            }
        }
        return findPath(hostId, target, end);
    }

    // ---- Hosts -------------------------------------------------------------------------------------
    private int findHost(String text, int end) {
        int hash = FNV_OFFSET_BASIS;
        int found = ANY_HOST;
        for (int index = end - 1; index >= 0; index--) {
            char c = HostName.toLowerCase(text.charAt(index));
            hash = (hash ^ c) * FNV_PRIME;
            if (c == '.' || index == 0) {
                int hostId = lookUpHost(hash, text, index, end);
                found = hostId == NONE ? found : hostId;
            }
        }
        return found;
    }

    private int lookUpHost(int hash, String text, int from, int to) {
        for (int slot = slot(hash, hosts.length); hosts[slot] != null; slot = slot + 1 & hosts.length - 1) {
            if (sameHost(hosts[slot], text, from, to)) {
                return hostIds[slot];
            }
        }
        return NONE;
    }

    private static boolean sameHost(String host, String text, int from, int to) {
        if (host.length() != to - from) {
            return false;
        }
        for (int i = 0; i < host.length(); i++) {
            if (host.charAt(i) != HostName.toLowerCase(text.charAt(from + i))) {
                return false;
            }
        }
        return true;
    }

    private static int hash(String host, int from, int to) {
        int hash = FNV_OFFSET_BASIS;
        for (int index = to - 1; index >= from; index--) {
            hash = (hash ^ host.charAt(index)) * FNV_PRIME;
        }
        return hash;
    }

    // ---- Paths -------------------------------------------------------------------------------------
    private int findPath(int hostId, String target, int end) {
        int hash = pathHashSeed(hostId);
        int found = lookUpPath(hash, hostId, target, 0);
        int last = Math.min(end, maxPathLength);
        for (int index = 0; index < last; index++) {
            hash = (hash ^ target.charAt(index)) * FNV_PRIME;
            if (index + 1 == end || target.charAt(index + 1) == '/') {
                int service = lookUpPath(hash, hostId, target, index + 1);
                found = service == NONE ? found : service;
            }
        }
        return found;
    }

    private int lookUpPath(int hash, int hostId, String target, int length) {
        for (int slot = slot(hash, paths.length); paths[slot] != null; slot = slot + 1 & paths.length - 1) {
            if (pathHostIds[slot] == hostId && paths[slot].length() == length && target.startsWith(paths[slot])) {
                return services[slot];
            }
        }
        return NONE;
    }

    private static int pathHashSeed(int hostId) {
        return (FNV_OFFSET_BASIS ^ hostId) * FNV_PRIME;
    }

    private static int hash(String path, int hostId) {
        int hash = pathHashSeed(hostId);
        for (int index = 0; index < path.length(); index++) {
            hash = (hash ^ path.charAt(index)) * FNV_PRIME;
        }
        return hash;
    }
}
