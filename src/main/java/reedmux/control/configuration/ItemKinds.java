package reedmux.control.configuration;

import java.util.List;

/** The kinds of {@link ConfigurationItem}s, named as in the operators' JSON, in messages and on disk. */
final class ItemKinds {
    /** Routes of requests to services: {@link RouteItem}. */
    static final String ROUTES = "routes";
    /** Services: {@link ServiceItem}. */
    static final String SERVICES = "plants";
    /** Tenants (customers): {@link TenantItem}. */
    static final String TENANTS = "tenants";
    /** Limits for client requests: {@link RequestLimits}. There is at most one such item, and its name is empty. */
    static final String LIMITS = "saturation";

    private static final List<String> ALL = List.of(ROUTES, SERVICES, TENANTS, LIMITS);

    private ItemKinds() {}

    static boolean isKnown(String kind) {
        return ALL.contains(kind);
    }
}
