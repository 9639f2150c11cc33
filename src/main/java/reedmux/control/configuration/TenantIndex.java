package reedmux.control.configuration;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/** Tenants by name and by key; it knows which keys more than one of them has. */
final class TenantIndex {
    private final Map<String, TenantItem> tenantsByName = new HashMap<>();
    /** Where a key is shared: any one of its tenants. */
    private final Map<String, TenantItem> tenantsByKey = new HashMap<>();
    /** The names of the tenants of each key that more than one has. */
    private final Map<String, TreeSet<String>> tenantsBySharedKey = new HashMap<>();

    /** Whether no two tenants share a key. */
    boolean isValid() {
        return tenantsBySharedKey.isEmpty();
    }

    void add(TenantItem tenant) {
        tenantsByName.put(tenant.name(), tenant);
        for (String key : tenant.keys()) {
            TenantItem other = tenantsByKey.putIfAbsent(key, tenant);
            if (other != null && other != tenant) {
                TreeSet<String> tenantNames = tenantsBySharedKey.get(key);
                if (tenantNames == null) {
                    tenantNames = new TreeSet<>();
                    tenantNames.add(other.name());
                    tenantsBySharedKey.put(key, tenantNames);
                }
                tenantNames.add(tenant.name());
            }
        }
    }

    /** Returns the tenant that was removed; null for none. */
    TenantItem remove(String name) {
        TenantItem tenant = tenantsByName.remove(name);
        if (tenant == null) {
            return null;
        }
        for (String key : tenant.keys()) {
            TreeSet<String> tenantNames = tenantsBySharedKey.get(key);
            if (tenantNames == null) {
                if (tenantsByKey.get(key) == tenant) {
                    tenantsByKey.remove(key);
                }
            } else {
                tenantNames.remove(name);
                tenantsByKey.put(key, tenantsByName.get(tenantNames.first()));
                if (tenantNames.size() == 1) {
                    tenantsBySharedKey.remove(key);
                }
            }
        }
        return tenant;
    }

    /** What a tenant has to do with what is not valid here; null for nothing. */
    String describeProblem(String name) {
        TenantItem tenant = tenantsByName.get(name);
        if (tenant != null) {
            for (String key : tenant.keys()) {
                if (tenantsBySharedKey.containsKey(key)) {
                    return "tenants " + String.join(" and ", tenantsBySharedKey.get(key)) + " share a key";
                }
            }
        }
        return null;
    }

    boolean isEmpty() {
        return tenantsByName.isEmpty();
    }

    /** The tenant with a key; null for none. */
    TenantItem byKey(String key) {
        return tenantsByKey.get(key);
    }

    /** The tenant with a name; null for none. */
    TenantItem byName(String name) {
        return tenantsByName.get(name);
    }
}
