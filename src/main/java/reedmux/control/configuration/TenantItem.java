package reedmux.control.configuration;

import java.util.ArrayList;
import java.util.List;

/**
 * A tenant (customer).
 *
 * @param keys the keys that identify the tenant's requests; no two tenants share a key
 * @param priority the priority of the tenant's requests; {@link #ROUTE_PRIORITY} if the route's priority applies
 * @param requestsPerSecond the rate limit across all proxies; 0 for no limit
 * @param burst the number of requests that may arrive at once in excess of that rate
 */
public record TenantItem(String name, List<String> keys, int priority, double requestsPerSecond, double burst)
        implements ParsedItem {
    /** Marks a tenant without a priority of its own. */
    public static final int ROUTE_PRIORITY = -1;

    static TenantItem parse(String name, ItemFields fields) throws InvalidConfigurationException {
        List<String> keys = new ArrayList<>();
        for (Object key : fields.listOrEmpty("keys")) {
            keys.add(fields.stringElement("keys", key));
        }
        return new TenantItem(
                name,
                List.copyOf(keys),
                (int) fields.numberOrDefault("priority", ROUTE_PRIORITY),
                fields.numberOrDefault("flowPerS", 0),
                fields.numberOrDefault("burst", 0));
    }
}
