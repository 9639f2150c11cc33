package reedmux.control.configuration;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/** Indexes tenants by name and by key, and tracks the keys that more than one tenant has. */
final class TenantIndex {
    private final Map<String, TenantItem> tenantsByName = new HashMap<>();
    /** For a shared key, an arbitrary one of its tenants. */
    private final Map<String, TenantItem> tenantsByKey = new HashMap<>();
    /** The names of the tenants that share a key, for each key with more than one tenant. */
    private final Map<String, TreeSet<String>> tenantsBySharedKey = new HashMap<>();

    /** Returns whether no two tenants share a key. */
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

    /** Returns the removed tenant, or null if there was none. */
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

    /** Describes the violation if a tenant shares a key with another one; null otherwise. */
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

    /** Returns the tenant with this key, or null if there is none. */
    TenantItem byKey(String key) {
        return tenantsByKey.get(key);
    }

    /** Returns the tenant with this name, or null if there is none. */
    TenantItem byName(String name) {
        return tenantsByName.get(name);
    }
}
