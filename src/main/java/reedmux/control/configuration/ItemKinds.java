package reedmux.control.configuration;

import java.util.List;

/** The kinds of {@link ConfigurationItem}s, by the names that operators, disks and messages have for them. */
final class ItemKinds {
    /** Which requests go to which service: {@link RouteItem}. */
    static final String ROUTES = "routes";
    /** Services: {@link ServiceItem}. */
    static final String SERVICES = "plants";
    /** Customers: {@link TenantItem}. */
    static final String TENANTS = "tenants";
    /** What clients may send: {@link RequestLimits}. There is at most one item of it, and its name is empty. */
    static final String LIMITS = "saturation";

    private static final List<String> ALL = List.of(ROUTES, SERVICES, TENANTS, LIMITS);

    private ItemKinds() {}

    static boolean isKnown(String kind) {
        return ALL.contains(kind);
    }
}
