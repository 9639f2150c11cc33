package reedmux.gatekeeper.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import reedmux.common.http1.HostName;

/**
 * Finds the service of a host and a path. An exact host takes precedence over {@code *.} patterns, a longer pattern
 * over a shorter one, and {@code *} comes last; among the routes of the host found, the longest path prefix wins. If
 * none of them matches there is no service, even if a route of {@code *} would match: a host has only its own routes.
 *
 * <p>Immutable. A look-up reads the host from its end and the path from its beginning, each character once, hashes the
 * prefixes (FNV-1a) into two tables with open addressing, and allocates nothing. For all threads.
 */
public final class RouteTable {
    /** There is no route. */
    public static final int NONE = -1;
    /** The host or the path is ambiguous or malformed. */
    public static final int AMBIGUOUS = -2;

    private static final int FNV_PRIME = 0x01000193;
    private static final int FNV_OFFSET_BASIS = 0x811C9DC5;
    private static final int ANY_HOST = 0;

    /** Host patterns in lower case; a wildcard's without its {@code *}, so that it begins with a dot. */
    private final String[] hosts;

    private final int[] hostIds;
    /** Paths without trailing slash, each with the number of its host and its service. */
    private final String[] paths;

    private final int[] pathHostIds;
    private final int[] services;
    private final boolean hasPathRoutes;
    private final int maxPathLength;

    private RouteTable(Map<String, Integer> numbers, List<ServiceRoute> routes) {
        hosts = new String[tableSize(numbers.size())];
        hostIds = new int[hosts.length];
        numbers.forEach((host, number) -> {
            int slot = slot(hash(host, 0, host.length()), hosts.length);
            while (hosts[slot] != null) {
                slot = slot + 1 & hosts.length - 1;
            }
            hosts[slot] = host;
            hostIds[slot] = number;
        });
        paths = new String[tableSize(routes.size())];
        pathHostIds = new int[paths.length];
        services = new int[paths.length];
        int longest = 0;
        boolean any = false;
        for (ServiceRoute route : routes) {
            String path = withoutTrailingSlash(route.path());
            int number = numbers.get(hostPattern(route.host()));
            int slot = slot(hash(path, number), paths.length);
            while (paths[slot] != null) {
                slot = slot + 1 & paths.length - 1;
            }
            paths[slot] = path;
            pathHostIds[slot] = number;
            services[slot] = route.service();
            longest = Math.max(longest, path.length());
            any |= !path.isEmpty();
        }
        maxPathLength = longest;
        hasPathRoutes = any;
    }

    /**
     * Compiles routes.
     *
     * @throws InvalidRouteException if one is malformed, or can never be reached because of another one
     */
    public static RouteTable of(List<ServiceRoute> routes) throws InvalidRouteException {
        Map<String, Integer> numbers = new LinkedHashMap<>();
        numbers.put("*", ANY_HOST);
        Map<String, ServiceRoute> seen = new HashMap<>();
        List<ServiceRoute> all = new ArrayList<>();
        for (ServiceRoute route : routes) {
            validate(route);
            String pattern = hostPattern(route.host());
            numbers.putIfAbsent(pattern, numbers.size());
            ServiceRoute before = seen.putIfAbsent(pattern + ' ' + withoutTrailingSlash(route.path()), route);
            if (before != null) {
                throw new InvalidRouteException(
                        route.line(),
                        "the route in line " + route.line()
                                + " can never be reached: line " + before.line() + " says the same of "
                                + route.host() + route.path());
            }
            all.add(route);
        }
        return new RouteTable(numbers, all);
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
     * The service of a request, {@link #NONE} or {@link #AMBIGUOUS}.
     *
     * @param authority the value of {@code Host}, or null where there is none, which only {@code *} takes
     * @param target    in origin form
     */
    public int find(String authority, String target) {
        int host = ANY_HOST;
        if (authority != null) {
            int end = HostName.hostEnd(authority);
            if (end == HostName.INVALID) {
                return AMBIGUOUS;
            }
            host = findHost(authority, end);
        }
        int end = 0;
        if (hasPathRoutes) {
            end = UnambiguousPath.pathEnd(target);
            if (end == UnambiguousPath.AMBIGUOUS) {
                return AMBIGUOUS;
            }
        }
        return findPath(host, target, end);
    }

    // ---- Hosts -------------------------------------------------------------------------------------
    private int findHost(String text, int end) {
        int hash = FNV_OFFSET_BASIS;
        int found = ANY_HOST;
        for (int at = end - 1; at >= 0; at--) {
            char c = HostName.toLowerCase(text.charAt(at));
            hash = (hash ^ c) * FNV_PRIME;
            if (c == '.' || at == 0) {
                int number = lookUpHost(hash, text, at, end);
                found = number == NONE ? found : number;
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
        for (int at = to - 1; at >= from; at--) {
            hash = (hash ^ host.charAt(at)) * FNV_PRIME;
        }
        return hash;
    }

    // ---- Paths -------------------------------------------------------------------------------------
    private int findPath(int host, String target, int end) {
        int hash = pathHashSeed(host);
        int found = lookUpPath(hash, host, target, 0);
        int last = Math.min(end, maxPathLength);
        for (int at = 0; at < last; at++) {
            hash = (hash ^ target.charAt(at)) * FNV_PRIME;
            if (at + 1 == end || target.charAt(at + 1) == '/') {
                int service = lookUpPath(hash, host, target, at + 1);
                found = service == NONE ? found : service;
            }
        }
        return found;
    }

    private int lookUpPath(int hash, int host, String target, int length) {
        for (int slot = slot(hash, paths.length); paths[slot] != null; slot = slot + 1 & paths.length - 1) {
            if (pathHostIds[slot] == host && paths[slot].length() == length && target.startsWith(paths[slot])) {
                return services[slot];
            }
        }
        return NONE;
    }

    private static int pathHashSeed(int host) {
        return (FNV_OFFSET_BASIS ^ host) * FNV_PRIME;
    }

    private static int hash(String path, int host) {
        int hash = pathHashSeed(host);
        for (int at = 0; at < path.length(); at++) {
            hash = (hash ^ path.charAt(at)) * FNV_PRIME;
        }
        return hash;
    }
}
