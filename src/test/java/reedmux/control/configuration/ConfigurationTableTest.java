package reedmux.control.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.testng.annotations.Test;
import reedmux.control.replication.ConfigurationFollower;
import reedmux.control.replication.Replica;

/** A table that is changed incrementally must give the same lookups as one that is rebuilt from all items. */
public class ConfigurationTableTest {
    private final Random random = new Random(17);

    private ConfigurationItem randomItem(long revision) {
        int name = random.nextInt(5);
        if (random.nextInt(5) == 0) {
            String kind = List.of("plants", "routes", "tenants", "saturation").get(random.nextInt(4));
            return new ConfigurationItem(kind, kind.equals("saturation") ? "" : "n" + name, revision, "");
        }
        return switch (random.nextInt(8)) {
            case 0, 1, 2 -> new ConfigurationItem("plants", "n" + name, revision, "{}");
            case 3, 4, 5 ->
                new ConfigurationItem(
                        "routes",
                        "n" + name,
                        revision,
                        "{\"host\":\"h" + random.nextInt(2)
                                + "\",\"prefix\":\"/" + "ab".repeat(random.nextInt(3))
                                + "\",\"kind\":\"inflow\",\"plant\":\"n" + random.nextInt(5) + "\"}");
            case 6 ->
                new ConfigurationItem(
                        "tenants",
                        "n" + name,
                        revision,
                        "{\"keys\":[\"k" + random.nextInt(4) + "\",\"k" + random.nextInt(8) + "\"]}");
            default ->
                random.nextInt(3) > 0
                        ? new ConfigurationItem("saturation", "", revision, "{\"idleMs\":1000}")
                        : new ConfigurationItem("routes", "n" + name, revision, "{\"host\":\"h\"}");
        };
    }

    /** Reference implementation without an index: parses and validates all items from scratch. */
    private static boolean isValidFromScratch(Collection<ConfigurationItem> items) {
        Map<String, String> tenantsByKey = new HashMap<>();
        Set<String> services = new HashSet<>();
        Set<List<String>> hostsAndPrefixes = new HashSet<>();
        List<RouteItem> routes = new ArrayList<>();
        try {
            for (ConfigurationItem item : items) {
                if (item.isDeleted()) {
                    continue;
                } else if (item.kind().equals("routes")) {
                    routes.add((RouteItem) ParsedItem.parse(item));
                } else if (item.kind().equals("plants")) {
                    services.add(((ServiceItem) ParsedItem.parse(item)).name());
                } else if (item.kind().equals("saturation")) {
                    ParsedItem.parse(item);
                } else {
                    for (String key : ((TenantItem) ParsedItem.parse(item)).keys()) {
                        String otherTenant = tenantsByKey.put(key, item.name());
                        if (otherTenant != null && !otherTenant.equals(item.name())) {
                            return false;
                        }
                    }
                }
            }
        } catch (InvalidConfigurationException e) {
            return false;
        }
        return routes.stream()
                .allMatch(route -> hostsAndPrefixes.add(List.of(route.host(), route.prefix()))
                        && route.services().stream()
                                .allMatch(weightedService -> services.contains(weightedService.service())));
    }

    private static void assertSameLookups(ConfigurationTable table, Collection<ConfigurationItem> items)
            throws InvalidConfigurationException {
        ConfigurationTable rebuilt = ConfigurationTable.of(items);
        assertEquals(new HashSet<>(table.services()), new HashSet<>(rebuilt.services()));
        assertEquals(table.requestLimits(), rebuilt.requestLimits());
        assertEquals(table.requiresKey(), rebuilt.requiresKey());
        for (int i = 0; i < 8; i++) {
            assertEquals(table.tenantByKey("k" + i), rebuilt.tenantByKey("k" + i));
            assertEquals(table.tenant("n" + i), rebuilt.tenant("n" + i));
            assertEquals(table.service("n" + i), rebuilt.service("n" + i));
            String path = "/" + "ab".repeat(i / 2);
            assertEquals(table.matchRoute("h" + i % 2, path), rebuilt.matchRoute("h" + i % 2, path));
            long longestPrefix = -1;
            for (ConfigurationItem item : items) {
                if (item.kind().equals("routes") && !item.isDeleted()) {
                    RouteItem route = (RouteItem) ParsedItem.parse(item);
                    if (route.host().equals("h" + i % 2) && path.startsWith(route.prefix())) {
                        longestPrefix = Math.max(longestPrefix, route.prefix().length());
                    }
                }
            }
            RouteItem route = table.matchRoute("h" + i % 2, path);
            assertEquals(route == null ? -1 : route.prefix().length(), longestPrefix);
        }
    }

    /** Compares verdicts, changes since a position and lookups in 300 random runs of a store and a proxy. */
    @Test
    public void incrementalChangesGiveTheSameTableAsParsingAllItems() throws InvalidConfigurationException {
        int validCount = 0;
        int invalidCount = 0;
        for (int run = 0; run < 300; run++) {
            Replica replica = new Replica();
            ConfigurationFollower follower = new ConfigurationFollower();
            Map<String, ConfigurationItem> all = new TreeMap<>();
            Map<String, ConfigurationItem> lastValid = null;
            for (int step = 1; step < 60; step++) {
                List<ConfigurationItem> change = new ArrayList<>();
                for (int i = 0; i <= random.nextInt(3); i++) {
                    change.add(randomItem(step));
                }
                Map<String, ConfigurationItem> itemsAfterChange = new TreeMap<>(all);
                for (ConfigurationItem item : change) {
                    if (item.supersedes(itemsAfterChange.get(item.key()))) {
                        itemsAfterChange.put(item.key(), item);
                    }
                }
                boolean valid = isValidFromScratch(itemsAfterChange.values());
                if (valid != (replica.validate("", change) == Replica.ValidationResult.VALID)) {
                    throw new AssertionError(
                            change + " got the wrong verdict with the items " + all + ": " + replica.problem());
                }
                validCount += valid ? 1 : 0;
                invalidCount += valid ? 0 : 1;
                assertTrue(valid || !replica.problem().isEmpty());
                if (!valid && random.nextInt(4) > 0) {
                    continue; // otherwise the invalid change is merged anyway, as if from another store
                }
                long previousChange = replica.lastChange();
                List<ConfigurationItem> merged = new ArrayList<>(itemsAfterChange.values());
                merged.removeAll(all.values());
                replica.merge(merged);
                all = itemsAfterChange;
                assertEquals(new HashSet<>(replica.committedSince(previousChange)), new HashSet<>(merged));
                assertEquals(new HashSet<>(replica.committedSince(0)), new HashSet<>(all.values()));
                boolean changed = follower.onUpdate("a", 1, step, merged);
                if (changed) {
                    lastValid = new TreeMap<>(all);
                }
                assertEquals(follower.problem() == null, isValidFromScratch(all.values()));
                if (lastValid != null) {
                    assertSameLookups(follower.table(), lastValid.values());
                }
            }
        }
        assertTrue(
                validCount > 1_000 && invalidCount > 1_000,
                validCount + " valid and " + invalidCount + " invalid changes");
    }

    /** The last valid table remains in use until the new items are valid; they are then applied to the same table. */
    @Test
    public void incompleteSetOfItemsLeavesTheTableUnchanged() {
        ConfigurationFollower follower = new ConfigurationFollower();
        assertTrue(follower.onUpdate("a", 1, 1, List.of(new ConfigurationItem("plants", "p", 1, "{}"))));
        ConfigurationTable table = follower.table();
        ConfigurationItem route = new ConfigurationItem(
                "routes", "r", 1, "{\"host\":\"h\",\"prefix\":\"/\",\"kind\":\"inflow\",\"plant\":\"q\"}");
        assertFalse(follower.onUpdate("a", 1, 2, List.of(route)));
        assertEquals(follower.problem(), "route r names the service q, which is not known");
        assertEquals(follower.table().matchRoute("h", "/"), null);
        assertTrue(follower.onUpdate("a", 1, 3, List.of(new ConfigurationItem("plants", "q", 1, "{}"))));
        assertSame(follower.table(), table);
        assertEquals(table.matchRoute("h", "/").name(), "r");
    }
}
