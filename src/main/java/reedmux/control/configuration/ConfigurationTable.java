package reedmux.control.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A set of items as it is used, and the one place that says what is valid. What an item takes part in is kept
 * by host, plant and key, with a count of what does not stand, so that a change costs what it changes and not
 * what there is. For one thread.
 */
public final class ConfigurationTable {
    private final Map<String, List<RouteItem>> routesByHost = new HashMap<>();
    private final Map<String, RouteItem> routesByName = new HashMap<>();
    private final Map<String, ServiceItem> servicesByName = new HashMap<>();
    private final Map<String, TenantItem> tenantsByKey = new HashMap<>();
    private final Map<String, TenantItem> tenantsByName = new HashMap<>();
    private RequestLimits requestLimits = RequestLimits.DEFAULTS;
    /** Why an item cannot be read, by its key. */
    private final Map<String, String> parseProblems = new TreeMap<>();
    /** The routes that name a plant. */
    private final Map<String, TreeSet<String>> routesByService = new HashMap<>();
    /** The tenants of keys that more than one has. */
    private final Map<String, TreeSet<String>> tenantsBySharedKey = new HashMap<>();
    /** Plants that are named and not there. */
    private int unknownServices;
    /** Routes beyond the first of one host and prefix. */
    private int duplicateRoutes;

    private String problem = "";

    /**
     * Reads items that stand together.
     *
     * @throws Invalid where one cannot be read, or two cannot stand beside each other
     */
    public static ConfigurationTable of(Collection<ConfigurationItem> items) throws InvalidConfigurationException {
        ConfigurationTable table = new ConfigurationTable();
        if (!table.applyIfValid(items)) {
            throw new InvalidConfigurationException(table.problem);
        }
        return table;
    }

    // ---- Changes -----------------------------------------------------------------------------------
    /** Puts items in place of those of their names if all stand together then; else nothing changes. */
    public boolean applyIfValid(Collection<ConfigurationItem> items) {
        return put(items, true);
    }

    /** Whether all would stand together with these in place of those of their names. */
    public boolean isValidWith(Collection<ConfigurationItem> items) {
        return put(items, false);
    }

    private boolean put(Collection<ConfigurationItem> items, boolean stay) {
        List<ConfigurationItem> done = new ArrayList<>(items.size());
        List<Object> before = new ArrayList<>(items.size());
        for (ConfigurationItem item : items) {
            done.add(item);
            before.add(put(item));
        }
        boolean good =
                parseProblems.isEmpty() && tenantsBySharedKey.isEmpty() && unknownServices == 0 && duplicateRoutes == 0;
        if (!good) {
            problem = explain(items);
        }
        for (int i = done.size() - 1; i >= 0 && !(good && stay); i--) {
            replace(done.get(i), before.get(i));
        }
        return good;
    }

    /** Why the last items did not stand. */
    public String problem() {
        return problem;
    }

    /** Puts an item in place of the one of its name, whether it stands or not; returns that one's reading. */
    public Object put(ConfigurationItem item) {
        return replace(item, item.isDeleted() ? null : parse(item));
    }

    /** As a part of this table, or why it cannot be read. */
    private static Object parse(ConfigurationItem item) {
        try {
            return switch (item.kind()) {
                case "routes" -> RouteItem.parse(item);
                case "plants" -> ServiceItem.parse(item);
                case "saturation" -> RequestLimits.parse(item);
                case "tenants" -> TenantItem.parse(item);
                default -> "no kind of item is called " + item.kind();
            };
        } catch (InvalidConfigurationException e) {
            return e.getMessage();
        }
    }

    private Object replace(ConfigurationItem name, Object reading) {
        Object before = parseProblems.remove(name.key());
        if (before == null) {
            before = remove(name.kind(), name.name());
        }
        if (reading instanceof String why) {
            parseProblems.put(name.key(), why);
        } else if (reading instanceof RouteItem route) {
            add(route);
        } else if (reading instanceof ServiceItem plant) {
            servicesByName.put(plant.name(), plant);
            unknownServices -= routesByService.containsKey(plant.name()) ? 1 : 0;
        } else if (reading instanceof TenantItem tenant) {
            add(tenant);
        } else if (reading instanceof RequestLimits told) {
            requestLimits = told;
        }
        return before;
    }

    private Object remove(String kind, String name) {
        switch (kind) {
            case "routes" -> {
                RouteItem route = routesByName.remove(name);
                if (route != null) {
                    remove(route);
                }
                return route;
            }
            case "plants" -> {
                ServiceItem plant = servicesByName.remove(name);
                unknownServices += plant != null && routesByService.containsKey(name) ? 1 : 0;
                return plant;
            }
            case "tenants" -> {
                TenantItem tenant = tenantsByName.remove(name);
                if (tenant != null) {
                    remove(tenant);
                }
                return tenant;
            }
            case "saturation" -> {
                RequestLimits before = requestLimits;
                requestLimits = RequestLimits.DEFAULTS;
                return before;
            }
            default -> {
                return null;
            }
        }
    }

    private void add(RouteItem route) {
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
        List<RouteItem> beside = routesByHost.get(route.host());
        if (beside == null) {
            beside = new ArrayList<>(1);
            routesByHost.put(route.host(), beside);
        }
        int at = insertionIndex(beside, route);
        duplicateRoutes += findDuplicate(beside, route, at) == null ? 0 : 1;
        beside.add(at, route);
    }

    private void remove(RouteItem route) {
        for (RouteItem.WeightedService part : route.services()) {
            TreeSet<String> names = routesByService.get(part.service());
            if (names != null && names.remove(route.name()) && names.isEmpty()) {
                routesByService.remove(part.service());
                unknownServices -= servicesByName.containsKey(part.service()) ? 0 : 1;
            }
        }
        List<RouteItem> beside = routesByHost.get(route.host());
        int at = insertionIndex(beside, route);
        beside.remove(at);
        duplicateRoutes -= findDuplicate(beside, route, at) == null ? 0 : 1;
        if (beside.isEmpty()) {
            routesByHost.remove(route.host());
        }
    }

    /** Where a route is, or belongs, in its host: longer prefixes first, then by prefix and name. */
    private static int insertionIndex(List<RouteItem> beside, RouteItem route) {
        int low = 0;
        int high = beside.size();
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (compareRoutes(beside.get(middle), route) < 0) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }

    private static int compareRoutes(RouteItem one, RouteItem other) {
        if (one.prefix().length() != other.prefix().length()) {
            return Integer.compare(other.prefix().length(), one.prefix().length());
        }
        int byPrefix = one.prefix().compareTo(other.prefix());
        return byPrefix != 0 ? byPrefix : one.name().compareTo(other.name());
    }

    /** Another route of the same host and prefix, where {@code at} is the place of this one, or null. */
    private static RouteItem findDuplicate(List<RouteItem> beside, RouteItem route, int at) {
        for (int i = at - 1; i <= at + 1; i++) {
            if (i >= 0
                    && i < beside.size()
                    && beside.get(i) != route
                    && beside.get(i).prefix().equals(route.prefix())) {
                return beside.get(i);
            }
        }
        return null;
    }

    private void add(TenantItem tenant) {
        tenantsByName.put(tenant.name(), tenant);
        for (String key : tenant.keys()) {
            TenantItem other = tenantsByKey.putIfAbsent(key, tenant);
            if (other != null && other != tenant) {
                TreeSet<String> names = tenantsBySharedKey.get(key);
                if (names == null) {
                    names = new TreeSet<>();
                    names.add(other.name());
                    tenantsBySharedKey.put(key, names);
                }
                names.add(tenant.name());
            }
        }
    }

    private void remove(TenantItem tenant) {
        for (String key : tenant.keys()) {
            TreeSet<String> names = tenantsBySharedKey.get(key);
            if (names == null) {
                if (tenantsByKey.get(key) == tenant) {
                    tenantsByKey.remove(key);
                }
            } else {
                names.remove(tenant.name());
                tenantsByKey.put(key, tenantsByName.get(names.first()));
                if (names.size() == 1) {
                    tenantsBySharedKey.remove(key);
                }
            }
        }
    }

    /** What does not stand, by the first of some items that takes part in it. */
    private String explain(Collection<ConfigurationItem> items) {
        for (ConfigurationItem item : items) {
            String why = parseProblems.get(item.key());
            if (why != null) {
                return why;
            }
        }
        for (ConfigurationItem item : items) {
            String why =
                    switch (item.kind()) {
                        case "routes" -> explain(routesByName.get(item.name()));
                        case "plants" ->
                            routesByService.containsKey(item.name()) && !servicesByName.containsKey(item.name())
                                    ? unknownServiceProblem(
                                            routesByService.get(item.name()).first(), item.name())
                                    : null;
                        case "tenants" -> explain(tenantsByName.get(item.name()));
                        default -> null;
                    };
            if (why != null) {
                return why;
            }
        }
        return parseProblems.isEmpty()
                ? "what is in force already does not stand together"
                : parseProblems.values().iterator().next();
    }

    private String explain(RouteItem route) {
        if (route != null) {
            for (RouteItem.WeightedService part : route.services()) {
                if (!servicesByName.containsKey(part.service())) {
                    return unknownServiceProblem(route.name(), part.service());
                }
            }
            List<RouteItem> beside = routesByHost.get(route.host());
            RouteItem other = findDuplicate(beside, route, insertionIndex(beside, route));
            if (other != null) {
                return "routes " + other.name() + " and " + route.name() + " have the same host and prefix";
            }
        }
        return null;
    }

    private static String unknownServiceProblem(String route, String plant) {
        return "route " + route + " names the service " + plant + ", which is not known";
    }

    private String explain(TenantItem tenant) {
        if (tenant != null) {
            for (String key : tenant.keys()) {
                if (tenantsBySharedKey.containsKey(key)) {
                    return "tenants " + String.join(" and ", tenantsBySharedKey.get(key)) + " share a key";
                }
            }
        }
        return null;
    }

    // ---- What is asked -------------------------------------------------------------------------------
    /** The route of a request, or null; {@code host} may have a port. */
    public RouteItem matchRoute(String host, String path) {
        if (host == null) {
            return null;
        }
        int colon = host.lastIndexOf(':');
        String name =
                (colon > 0 && host.indexOf(']') < colon ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
        for (RouteItem route : routesByHost.getOrDefault(name, List.of())) {
            if (path.startsWith(route.prefix())) {
                return route;
            }
        }
        return null;
    }

    public Collection<ServiceItem> services() {
        return servicesByName.values();
    }

    public ServiceItem service(String name) {
        return servicesByName.get(name);
    }

    public TenantItem tenantByKey(String key) {
        return tenantsByKey.get(key);
    }

    public TenantItem tenant(String name) {
        return tenantsByName.get(name);
    }

    /** Whether requests need a key. */
    public boolean requiresKey() {
        return !tenantsByName.isEmpty();
    }

    public RequestLimits requestLimits() {
        return requestLimits;
    }
}
