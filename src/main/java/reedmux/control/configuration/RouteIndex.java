package reedmux.control.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;

/**
 * Routes by host and prefix, and the services that they name. It counts what makes them invalid together, so that a
 * change costs what it changes and not what there is.
 */
final class RouteIndex {
    /** Longer prefixes first, then by prefix and name: the first match is the longest. */
    private final Map<String, List<RouteItem>> routesByHost = new HashMap<>();

    private final Map<String, RouteItem> routesByName = new HashMap<>();
    private final Map<String, ServiceItem> servicesByName = new HashMap<>();
    /** The names of the routes that name a service, whether it is known or not. */
    private final Map<String, TreeSet<String>> routesByService = new HashMap<>();
    /** How many services are named by routes and not known. */
    private int unknownServices;
    /** How many routes there are beyond the first of each host and prefix. */
    private int duplicateRoutes;

    /** Whether every service that is named is known, and no two routes have the same host and prefix. */
    boolean isValid() {
        return unknownServices == 0 && duplicateRoutes == 0;
    }

    // ---- Changes -----------------------------------------------------------------------------------

    void add(ServiceItem service) {
        servicesByName.put(service.name(), service);
        unknownServices -= isNamed(service.name()) ? 1 : 0;
    }

    /** Returns the service that was removed; null for none. */
    ServiceItem removeService(String name) {
        ServiceItem service = servicesByName.remove(name);
        unknownServices += service != null && isNamed(name) ? 1 : 0;
        return service;
    }

    private boolean isNamed(String service) {
        return routesByService.containsKey(service);
    }

    void add(RouteItem route) {
        routesByName.put(route.name(), route);
        for (RouteItem.WeightedService part : route.services()) {
            TreeSet<String> names = routesByService.get(part.service());
            if (names == null) {
                names = new TreeSet<>();
                routesByService.put(part.service(), names);
                unknownServices += servicesByName.containsKey(part.service()) ? 0 : 1;
            }
            names.add(route.name());
        }
        List<RouteItem> ofHost = routesByHost.get(route.host());
        if (ofHost == null) {
            ofHost = new ArrayList<>(1);
            routesByHost.put(route.host(), ofHost);
        }
        int index = indexOf(ofHost, route);
        duplicateRoutes += findDuplicate(ofHost, route, index) == null ? 0 : 1;
        ofHost.add(index, route);
    }

    /** Returns the route that was removed; null for none. */
    RouteItem removeRoute(String name) {
        RouteItem route = routesByName.remove(name);
        if (route == null) {
            return null;
        }
        for (RouteItem.WeightedService part : route.services()) {
            TreeSet<String> names = routesByService.get(part.service());
            if (names != null && names.remove(name) && names.isEmpty()) {
                routesByService.remove(part.service());
                unknownServices -= servicesByName.containsKey(part.service()) ? 0 : 1;
            }
        }
        List<RouteItem> ofHost = routesByHost.get(route.host());
        int index = indexOf(ofHost, route);
        ofHost.remove(index);
        duplicateRoutes -= findDuplicate(ofHost, route, index) == null ? 0 : 1;
        if (ofHost.isEmpty()) {
            routesByHost.remove(route.host());
        }
        return route;
    }

    /** Where a route is, or belongs, among those of its host. */
    private static int indexOf(List<RouteItem> ofHost, RouteItem route) {
        int low = 0;
        int high = ofHost.size();
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (compare(ofHost.get(middle), route) < 0) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }

    private static int compare(RouteItem one, RouteItem other) {
        if (one.prefix().length() != other.prefix().length()) {
            return Integer.compare(other.prefix().length(), one.prefix().length());
        }
        int byPrefix = one.prefix().compareTo(other.prefix());
        return byPrefix != 0 ? byPrefix : one.name().compareTo(other.name());
    }

    /** Another route of the same host and prefix, where {@code index} is that of this one; null for none. */
    private static RouteItem findDuplicate(List<RouteItem> ofHost, RouteItem route, int index) {
        for (int i = Math.max(0, index - 1); i <= index + 1 && i < ofHost.size(); i++) {
            RouteItem neighbor = ofHost.get(i);
            if (neighbor != route && neighbor.prefix().equals(route.prefix())) {
                return neighbor;
            }
        }
        return null;
    }

    // ---- What is not valid -------------------------------------------------------------------------

    /** What a route has to do with what is not valid here; null for nothing. */
    String explainRoute(String name) {
        RouteItem route = routesByName.get(name);
        if (route == null) {
            return null;
        }
        for (RouteItem.WeightedService part : route.services()) {
            if (!servicesByName.containsKey(part.service())) {
                return unknownServiceProblem(name, part.service());
            }
        }
        List<RouteItem> ofHost = routesByHost.get(route.host());
        RouteItem other = findDuplicate(ofHost, route, indexOf(ofHost, route));
        return other == null ? null : "routes " + other.name() + " and " + name + " have the same host and prefix";
    }

    /** What a service, or its absence, has to do with what is not valid here; null for nothing. */
    String explainService(String name) {
        return isNamed(name) && !servicesByName.containsKey(name)
                ? unknownServiceProblem(routesByService.get(name).first(), name)
                : null;
    }

    private static String unknownServiceProblem(String route, String service) {
        return "route " + route + " names the service " + service + ", which is not known";
    }

    // ---- Lookups -----------------------------------------------------------------------------------

    /** The route with the longest prefix that matches a request; null for none. */
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
        boolean isPort = colon > 0 && host.indexOf(']') < colon; // an IPv6 address in brackets has colons, too
        return isPort ? host.substring(0, colon) : host;
    }

    Collection<ServiceItem> services() {
        return servicesByName.values();
    }

    ServiceItem service(String name) {
        return servicesByName.get(name);
    }
}
