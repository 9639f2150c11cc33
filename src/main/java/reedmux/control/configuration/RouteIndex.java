package reedmux.control.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;

/**
 * Indexes routes by host and prefix, and the services that they reference. Violations are counted incrementally, so the
 * cost of a change depends on the size of the change, not on the size of the index.
 */
final class RouteIndex {
    /** Sorted by descending prefix length, then by prefix and name, so that the first match is the longest. */
    private final Map<String, List<RouteItem>> routesByHost = new HashMap<>();

    private final Map<String, RouteItem> routesByName = new HashMap<>();
    private final Map<String, ServiceItem> servicesByName = new HashMap<>();
    /** The names of the routes that reference a service, whether the service exists or not. */
    private final Map<String, TreeSet<String>> routesByService = new HashMap<>();
    /** Number of services that routes reference and that do not exist. */
    private int unknownServiceCount;
    /** Number of routes beyond the first for each host and prefix. */
    private int duplicateRouteCount;

    /** Returns whether every referenced service exists and no two routes have the same host and prefix. */
    boolean isValid() {
        return unknownServiceCount == 0 && duplicateRouteCount == 0;
    }

    // ---- Changes -----------------------------------------------------------------------------------

    void add(ServiceItem service) {
        servicesByName.put(service.name(), service);
        unknownServiceCount -= isReferenced(service.name()) ? 1 : 0;
    }

    /** Returns the removed service, or null if there was none. */
    ServiceItem removeService(String name) {
        ServiceItem service = servicesByName.remove(name);
        unknownServiceCount += service != null && isReferenced(name) ? 1 : 0;
        return service;
    }

    private boolean isReferenced(String service) {
        return routesByService.containsKey(service);
    }

    void add(RouteItem route) {
        routesByName.put(route.name(), route);
        for (RouteItem.WeightedService weightedService : route.services()) {
            TreeSet<String> routeNames = routesByService.get(weightedService.service());
            if (routeNames == null) {
                routeNames = new TreeSet<>();
                routesByService.put(weightedService.service(), routeNames);
                unknownServiceCount += servicesByName.containsKey(weightedService.service()) ? 0 : 1;
            }
            routeNames.add(route.name());
        }
        List<RouteItem> hostRoutes = routesByHost.get(route.host());
        if (hostRoutes == null) {
            hostRoutes = new ArrayList<>(1);
            routesByHost.put(route.host(), hostRoutes);
        }
        int index = indexOf(hostRoutes, route);
        duplicateRouteCount += findDuplicate(hostRoutes, route, index) == null ? 0 : 1;
        hostRoutes.add(index, route);
    }

    /** Returns the removed route, or null if there was none. */
    RouteItem removeRoute(String name) {
        RouteItem route = routesByName.remove(name);
        if (route == null) {
            return null;
        }
        for (RouteItem.WeightedService weightedService : route.services()) {
            TreeSet<String> routeNames = routesByService.get(weightedService.service());
            if (routeNames != null && routeNames.remove(name) && routeNames.isEmpty()) {
                routesByService.remove(weightedService.service());
                unknownServiceCount -= servicesByName.containsKey(weightedService.service()) ? 0 : 1;
            }
        }
        List<RouteItem> hostRoutes = routesByHost.get(route.host());
        int index = indexOf(hostRoutes, route);
        hostRoutes.remove(index);
        duplicateRouteCount -= findDuplicate(hostRoutes, route, index) == null ? 0 : 1;
        if (hostRoutes.isEmpty()) {
            routesByHost.remove(route.host());
        }
        return route;
    }

    /** Returns the index of a route, or its insertion point, among the routes of its host. */
    private static int indexOf(List<RouteItem> hostRoutes, RouteItem route) {
        int low = 0;
        int high = hostRoutes.size();
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (compare(hostRoutes.get(middle), route) < 0) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }

    private static int compare(RouteItem first, RouteItem second) {
        if (first.prefix().length() != second.prefix().length()) {
            return Integer.compare(second.prefix().length(), first.prefix().length());
        }
        int byPrefix = first.prefix().compareTo(second.prefix());
        return byPrefix != 0 ? byPrefix : first.name().compareTo(second.name());
    }

    /**
     * Returns another route with the same host and prefix, or null if there is none; {@code index} is the index or
     * insertion point of {@code route}.
     */
    private static RouteItem findDuplicate(List<RouteItem> hostRoutes, RouteItem route, int index) {
        for (int i = Math.max(0, index - 1); i <= index + 1 && i < hostRoutes.size(); i++) {
            RouteItem neighbor = hostRoutes.get(i);
            if (neighbor != route && neighbor.prefix().equals(route.prefix())) {
                return neighbor;
            }
        }
        return null;
    }

    // ---- Violations --------------------------------------------------------------------------------

    /** Describes a violation in which a route is involved; null if there is none. */
    String describeRouteProblem(String name) {
        RouteItem route = routesByName.get(name);
        if (route == null) {
            return null;
        }
        for (RouteItem.WeightedService weightedService : route.services()) {
            if (!servicesByName.containsKey(weightedService.service())) {
                return unknownServiceProblem(name, weightedService.service());
            }
        }
        List<RouteItem> hostRoutes = routesByHost.get(route.host());
        RouteItem duplicate = findDuplicate(hostRoutes, route, indexOf(hostRoutes, route));
        return duplicate == null
                ? null
                : "routes " + duplicate.name() + " and " + name + " have the same host and prefix";
    }

    /** Describes the violation if routes reference a service that does not exist; null otherwise. */
    String describeServiceProblem(String name) {
        return isReferenced(name) && !servicesByName.containsKey(name)
                ? unknownServiceProblem(routesByService.get(name).first(), name)
                : null;
    }

    private static String unknownServiceProblem(String route, String service) {
        return "route " + route + " names the service " + service + ", which is not known";
    }

    // ---- Lookups -----------------------------------------------------------------------------------

    /** Returns the route with the longest prefix that matches a request, or null if none matches. */
    RouteItem match(String host, String path) {
        if (host == null) {
            return null;
        }
        for (RouteItem route : routesByHost.getOrDefault(withoutPort(host).toLowerCase(Locale.ROOT), List.of())) {
            if (path.startsWith(route.prefix())) {
                return route;
            }
        }
        return null;
    }

    private static String withoutPort(String host) {
        int colon = host.lastIndexOf(':');
        boolean isPort = colon > 0 && host.indexOf(']') < colon; // an IPv6 address in brackets contains colons, too
        return isPort ? host.substring(0, colon) : host;
    }

    Collection<ServiceItem> services() {
        return servicesByName.values();
    }

    ServiceItem service(String name) {
        return servicesByName.get(name);
    }
}
