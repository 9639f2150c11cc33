package reedmux.control.configuration;

import java.util.ArrayList;
import java.util.List;

/**
 * A customer.
 *
 * @param keys by which the customer's requests are recognized; no two tenants share one
 * @param priority of the tenant's requests; {@link #ROUTE_PRIORITY} where the route's holds
 * @param requestsPerSecond the rate limit over all proxies; 0 for none
 * @param burst how many requests may come at once beyond that rate
 */
public record TenantItem(String name, List<String> keys, int priority, double requestsPerSecond, double burst)
        implements ParsedItem {
    /** The priority of a tenant that has none of its own. */
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
