package reedmux.control.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A set of parsed items, indexed for lookups. This class defines when a configuration is valid: each item is valid on
 * its own ({@link ParsedItem}); every service that a route references exists; no two routes have the same host and
 * prefix; no two tenants share a key. Violations are counted incrementally as items are added and removed, so the cost
 * of a change depends on the size of the change, not on the size of the table. Not thread-safe.
 */
public final class ConfigurationTable {
    private final RouteIndex routes = new RouteIndex();
    private final TenantIndex tenants = new TenantIndex();
    private RequestLimits requestLimits = RequestLimits.DEFAULTS;
    /** The items that are invalid on their own, by key. */
    private final Map<String, ParsedItem.ParseProblem> parseProblems = new TreeMap<>();

    private String problem = "";

    /**
     * Creates a table that contains the given items.
     *
     * @throws InvalidConfigurationException if an item is invalid on its own, or the items are invalid together
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
     * Applies items, each of which replaces the item with the same key, if the resulting configuration is valid.
     * Otherwise the table is left unchanged and {@link #problem()} returns the reason.
     *
     * @return whether the items were applied
     */
    public boolean applyIfValid(Collection<ConfigurationItem> items) {
        return tryToApply(items, true);
    }

    /** Returns whether {@link #applyIfValid} would apply the items; if not, {@link #problem()} returns the reason. */
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

    /** Returns why the items of the last rejected call were invalid; empty if no call was rejected. */
    public String problem() {
        return problem;
    }

    /** Replaces the item with the same key, even if the resulting configuration is invalid. */
    public void put(ConfigurationItem item) {
        replace(item, parse(item));
    }

    /** Returns null for a deleted item. */
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

    /** Replaces the parsed form of an item and returns the previous one; either may be null. */
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

    /** Describes a violation, if possible that of the first of the given items that is involved in one. */
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

    /** Returns the route with the longest matching prefix, or null if none matches; {@code host} may include a port. */
    public RouteItem matchRoute(String host, String path) {
        return routes.match(host, path);
    }

    /** Returns all services, in no particular order. */
    public Collection<ServiceItem> services() {
        return routes.services();
    }

    /** Returns the service with this name, or null if there is none. */
    public ServiceItem service(String name) {
        return routes.service(name);
    }

    /** Returns the tenant with this key, or null if there is none. */
    public TenantItem tenantByKey(String key) {
        return tenants.byKey(key);
    }

    /** Returns the tenant with this name, or null if there is none. */
    public TenantItem tenant(String name) {
        return tenants.byName(name);
    }

    /** Returns whether requests must contain a tenant's key, which is the case as soon as any tenant exists. */
    public boolean requiresKey() {
        return !tenants.isEmpty();
    }

    /** Returns the limits for client requests; {@link RequestLimits#DEFAULTS} if no item specifies them. */
    public RequestLimits requestLimits() {
        return requestLimits;
    }
}
