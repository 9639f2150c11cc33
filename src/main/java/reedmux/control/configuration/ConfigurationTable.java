package reedmux.control.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A set of items in the form in which it is used, and the one place that says what is valid: each item by itself
 * ({@link ParsedItem}); every service that a route names is there; no two routes have the same host and prefix; no two
 * tenants share a key. What is not valid is counted as items come and go, so that a change costs what it changes and
 * not what there is. For one thread.
 */
public final class ConfigurationTable {
    private final RouteIndex routes = new RouteIndex();
    private final TenantIndex tenants = new TenantIndex();
    private RequestLimits requestLimits = RequestLimits.DEFAULTS;
    /** Items that aren't valid by themselves, by their keys. */
    private final Map<String, ParsedItem.ParseProblem> parseProblems = new TreeMap<>();

    private String problem = "";

    /**
     * A table of these items.
     *
     * @throws InvalidConfigurationException if one is not valid by itself, or all are not valid together
     */
    public static ConfigurationTable of(Collection<ConfigurationItem> items) throws InvalidConfigurationException {
        ConfigurationTable table = new ConfigurationTable();
        if (!table.applyIfValid(items)) {
            throw new InvalidConfigurationException(table.problem);
        }
        return table;
    }

    // ---- Changes -----------------------------------------------------------------------------------

    /**
     * Puts items in the place of those with their keys if all are valid together then; else nothing changes, and
     * {@link #problem()} says why.
     */
    public boolean applyIfValid(Collection<ConfigurationItem> items) {
        return tryToApply(items, true);
    }

    /** Whether all would be valid together after {@link #applyIfValid}; {@link #problem()} says why not. */
    public boolean isValidWith(Collection<ConfigurationItem> items) {
        return tryToApply(items, false);
    }

    private boolean tryToApply(Collection<ConfigurationItem> items, boolean keepIfValid) {
        List<ConfigurationItem> applied = new ArrayList<>(items);
        List<ParsedItem> replaced = new ArrayList<>(applied.size());
        for (ConfigurationItem item : applied) {
            replaced.add(replace(item, parse(item)));
        }
        boolean valid = parseProblems.isEmpty() && routes.isValid() && tenants.isValid();
        if (!valid) {
            problem = describeProblem(applied);
        }
        if (!valid || !keepIfValid) {
            for (int i = applied.size() - 1; i >= 0; i--) {
                replace(applied.get(i), replaced.get(i));
            }
        }
        return valid;
    }

    /** Why the items of the last call weren't valid. */
    public String problem() {
        return problem;
    }

    /** Puts an item in the place of the one with its key, whether all are valid together then or not. */
    public void put(ConfigurationItem item) {
        replace(item, parse(item));
    }

    /** Null for a deletion. */
    private static ParsedItem parse(ConfigurationItem item) {
        if (item.isDeleted()) {
            return null;
        }
        try {
            return ParsedItem.parse(item);
        } catch (InvalidConfigurationException e) {
            return new ParsedItem.ParseProblem(e.getMessage());
        }
    }

    /** Puts {@code parsed} in the place of what there is of an item, and returns that; either may be null. */
    private ParsedItem replace(ConfigurationItem item, ParsedItem parsed) {
        ParsedItem replaced = parseProblems.remove(item.key());
        if (replaced == null) {
            replaced = remove(item.kind(), item.name());
        }
        if (parsed instanceof ParsedItem.ParseProblem parseProblem) {
            parseProblems.put(item.key(), parseProblem);
        } else if (parsed instanceof RouteItem route) {
            routes.add(route);
        } else if (parsed instanceof ServiceItem service) {
            routes.add(service);
        } else if (parsed instanceof TenantItem tenant) {
            tenants.add(tenant);
        } else if (parsed instanceof RequestLimits limits) {
            requestLimits = limits;
        }
        return replaced;
    }

    private ParsedItem remove(String kind, String name) {
        return switch (kind) {
            case ItemKinds.ROUTES -> routes.removeRoute(name);
            case ItemKinds.SERVICES -> routes.removeService(name);
            case ItemKinds.TENANTS -> tenants.remove(name);
            case ItemKinds.LIMITS -> {
                RequestLimits removed = requestLimits;
                requestLimits = RequestLimits.DEFAULTS;
                yield removed;
            }
            default -> null;
        };
    }

    /** What is not valid, told by the first of some items that has to do with it. */
    private String describeProblem(Collection<ConfigurationItem> items) {
        for (ConfigurationItem item : items) {
            ParsedItem.ParseProblem parseProblem = parseProblems.get(item.key());
            if (parseProblem != null) {
                return parseProblem.message();
            }
        }
        for (ConfigurationItem item : items) {
            String reason =
                    switch (item.kind()) {
                        case ItemKinds.ROUTES -> routes.describeRouteProblem(item.name());
                        case ItemKinds.SERVICES -> routes.describeServiceProblem(item.name());
                        case ItemKinds.TENANTS -> tenants.describeProblem(item.name());
                        default -> null;
                    };
            if (reason != null) {
                return reason;
            }
        }
        return parseProblems.isEmpty()
                ? "what is in force already does not stand together"
                : parseProblems.values().iterator().next().message();
    }

    // ---- Lookups -----------------------------------------------------------------------------------

    /** The route with the longest prefix that matches a request; null for none. {@code host} may have a port. */
    public RouteItem matchRoute(String host, String path) {
        return routes.match(host, path);
    }

    /** All services, in no order. */
    public Collection<ServiceItem> services() {
        return routes.services();
    }

    /** The service with a name; null for none. */
    public ServiceItem service(String name) {
        return routes.service(name);
    }

    /** The tenant with a key; null for none. */
    public TenantItem tenantByKey(String key) {
        return tenants.byKey(key);
    }

    /** The tenant with a name; null for none. */
    public TenantItem tenant(String name) {
        return tenants.byName(name);
    }

    /** Whether requests need a tenant's key: once there is any tenant. */
    public boolean requiresKey() {
        return !tenants.isEmpty();
    }

    /** What clients may send; {@link RequestLimits#DEFAULTS} where no item says so. */
    public RequestLimits requestLimits() {
        return requestLimits;
    }
}
