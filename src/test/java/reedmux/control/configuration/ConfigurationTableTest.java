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

/** A table that is changed item by item answers as one that is read anew from all items each time. */
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

    /** As it was read before there was an index: all items anew. */
    private static boolean isValidFromScratch(Collection<ConfigurationItem> items) {
        Map<String, String> byKey = new HashMap<>();
        Set<String> plants = new HashSet<>();
        Set<List<String>> places = new HashSet<>();
        List<RouteItem> routes = new ArrayList<>();
        try {
            for (ConfigurationItem item : items) {
                if (item.isDeleted()) {
                    continue;
                } else if (item.kind().equals("routes")) {
                    routes.add((RouteItem) ParsedItem.parse(item));
                } else if (item.kind().equals("plants")) {
                    plants.add(((ServiceItem) ParsedItem.parse(item)).name());
                } else if (item.kind().equals("saturation")) {
                    ParsedItem.parse(item);
                } else {
                    for (String key : ((TenantItem) ParsedItem.parse(item)).keys()) {
                        String other = byKey.put(key, item.name());
                        if (other != null && !other.equals(item.name())) {
                            return false;
                        }
                    }
                }
            }
        } catch (InvalidConfigurationException e) {
            return false;
        }
        return routes.stream()
                .allMatch(route -> places.add(List.of(route.host(), route.prefix()))
                        && route.services().stream().allMatch(part -> plants.contains(part.service())));
    }

    private static void assertSameLookups(ConfigurationTable table, Collection<ConfigurationItem> items)
            throws InvalidConfigurationException {
        ConfigurationTable anew = ConfigurationTable.of(items);
        assertEquals(new HashSet<>(table.services()), new HashSet<>(anew.services()));
        assertEquals(table.requestLimits(), anew.requestLimits());
        assertEquals(table.requiresKey(), anew.requiresKey());
        for (int i = 0; i < 8; i++) {
            assertEquals(table.tenantByKey("k" + i), anew.tenantByKey("k" + i));
            assertEquals(table.tenant("n" + i), anew.tenant("n" + i));
            assertEquals(table.service("n" + i), anew.service("n" + i));
            String path = "/" + "ab".repeat(i / 2);
            assertEquals(table.matchRoute("h" + i % 2, path), anew.matchRoute("h" + i % 2, path));
            long longest = -1;
            for (ConfigurationItem item : items) {
                if (item.kind().equals("routes") && !item.isDeleted()) {
                    RouteItem route = (RouteItem) ParsedItem.parse(item);
                    if (route.host().equals("h" + i % 2) && path.startsWith(route.prefix())) {
                        longest = Math.max(longest, route.prefix().length());
                    }
                }
            }
            RouteItem route = table.matchRoute("h" + i % 2, path);
            assertEquals(route == null ? -1 : route.prefix().length(), longest);
        }
    }

    /** 300 drawn lives of a store and a proxy: verdicts, what changed since, and lookups. */
    @Test
    public void incrementalChangesGiveTheSameTableAsParsingAllItems() throws InvalidConfigurationException {
        int good = 0;
        int invalid = 0;
        for (int life = 0; life < 300; life++) {
            Replica replica = new Replica();
            ConfigurationFollower poll = new ConfigurationFollower();
            Map<String, ConfigurationItem> all = new TreeMap<>();
            Map<String, ConfigurationItem> usable = null;
            for (int step = 1; step < 60; step++) {
                List<ConfigurationItem> call = new ArrayList<>();
                for (int i = 0; i <= random.nextInt(3); i++) {
                    call.add(randomItem(step));
                }
                Map<String, ConfigurationItem> after = new TreeMap<>(all);
                for (ConfigurationItem item : call) {
                    if (item.supersedes(after.get(item.key()))) {
                        after.put(item.key(), item);
                    }
                }
                boolean stands = isValidFromScratch(after.values());
                if (stands != (replica.validate("", call) == Replica.ValidationResult.VALID)) {
                    throw new AssertionError(call + " beside " + all + ": " + replica.problem());
                }
                good += stands ? 1 : 0;
                invalid += stands ? 0 : 1;
                assertTrue(stands || !replica.problem().isEmpty());
                if (!stands && random.nextInt(4) > 0) {
                    continue; // else it comes in all the same, from elsewhere
                }
                long before = replica.lastChange();
                List<ConfigurationItem> merged = new ArrayList<>(after.values());
                merged.removeAll(all.values());
                replica.merge(merged);
                all = after;
                assertEquals(new HashSet<>(replica.committedSince(before)), new HashSet<>(merged));
                assertEquals(new HashSet<>(replica.committedSince(0)), new HashSet<>(all.values()));
                boolean changed = poll.onUpdate("a", 1, step, merged);
                if (changed) {
                    usable = new TreeMap<>(all);
                }
                assertEquals(poll.problem() == null, isValidFromScratch(all.values()));
                if (usable != null) {
                    assertSameLookups(poll.table(), usable.values());
                }
            }
        }
        assertTrue(good > 1_000 && invalid > 1_000, good + " good, " + invalid + " invalid");
    }

    /** What was usable stays in use until what came can be used, and the same table then has it. */
    @Test
    public void incompleteSetOfItemsLeavesTheTableUnchanged() {
        ConfigurationFollower poll = new ConfigurationFollower();
        assertTrue(poll.onUpdate("a", 1, 1, List.of(new ConfigurationItem("plants", "p", 1, "{}"))));
        ConfigurationTable table = poll.table();
        ConfigurationItem route = new ConfigurationItem(
                "routes", "r", 1, "{\"host\":\"h\",\"prefix\":\"/\",\"kind\":\"inflow\",\"plant\":\"q\"}");
        assertFalse(poll.onUpdate("a", 1, 2, List.of(route)));
        assertEquals(poll.problem(), "route r names the service q, which is not known");
        assertEquals(poll.table().matchRoute("h", "/"), null);
        assertTrue(poll.onUpdate("a", 1, 3, List.of(new ConfigurationItem("plants", "q", 1, "{}"))));
        assertSame(poll.table(), table);
        assertEquals(table.matchRoute("h", "/").name(), "r");
    }
}
