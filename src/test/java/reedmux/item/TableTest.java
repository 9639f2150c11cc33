package reedmux.item;

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

/** A table that is changed item by item answers as one that is read anew from all items each time. */
public class TableTest {
    private final Random random = new Random(17);

    private Item drawn(long revision) {
        int name = random.nextInt(5);
        if (random.nextInt(5) == 0) {
            String kind = List.of("plants", "routes", "tenants", "saturation").get(random.nextInt(4));
            return new Item(kind, kind.equals("saturation") ? "" : "n" + name, revision, "");
        }
        return switch (random.nextInt(8)) {
            case 0, 1, 2 -> new Item("plants", "n" + name, revision, "{}");
            case 3, 4, 5 ->
                new Item(
                        "routes",
                        "n" + name,
                        revision,
                        "{\"host\":\"h" + random.nextInt(2)
                                + "\",\"prefix\":\"/" + "ab".repeat(random.nextInt(3))
                                + "\",\"kind\":\"inflow\",\"plant\":\"n" + random.nextInt(5) + "\"}");
            case 6 ->
                new Item(
                        "tenants",
                        "n" + name,
                        revision,
                        "{\"keys\":[\"k" + random.nextInt(4) + "\",\"k" + random.nextInt(8) + "\"]}");
            default ->
                random.nextInt(3) > 0
                        ? new Item("saturation", "", revision, "{\"idleMs\":1000}")
                        : new Item("routes", "n" + name, revision, "{\"host\":\"h\"}");
        };
    }

    /** As it was read before there was an index: all items anew. */
    private static boolean stands(Collection<Item> items) {
        Map<String, String> byKey = new HashMap<>();
        Set<String> plants = new HashSet<>();
        Set<List<String>> places = new HashSet<>();
        List<Route> routes = new ArrayList<>();
        try {
            for (Item item : items) {
                if (item.dropped()) {
                    continue;
                } else if (item.kind().equals("routes")) {
                    routes.add(Route.of(item));
                } else if (item.kind().equals("plants")) {
                    plants.add(Plant.of(item).name());
                } else if (item.kind().equals("saturation")) {
                    Bounds.of(item);
                } else {
                    for (String key : Tenant.of(item).keys()) {
                        String other = byKey.put(key, item.name());
                        if (other != null && !other.equals(item.name())) {
                            return false;
                        }
                    }
                }
            }
        } catch (Invalid e) {
            return false;
        }
        return routes.stream()
                .allMatch(route -> places.add(List.of(route.host(), route.prefix()))
                        && route.parts().stream().allMatch(part -> plants.contains(part.plant())));
    }

    private static void same(Table table, Collection<Item> items) throws Invalid {
        Table anew = Table.of(items);
        assertEquals(new HashSet<>(table.plants()), new HashSet<>(anew.plants()));
        assertEquals(table.bounds(), anew.bounds());
        assertEquals(table.keyed(), anew.keyed());
        for (int i = 0; i < 8; i++) {
            assertEquals(table.byKey("k" + i), anew.byKey("k" + i));
            assertEquals(table.tenant("n" + i), anew.tenant("n" + i));
            assertEquals(table.plant("n" + i), anew.plant("n" + i));
            String path = "/" + "ab".repeat(i / 2);
            assertEquals(table.route("h" + i % 2, path), anew.route("h" + i % 2, path));
            long longest = -1;
            for (Item item : items) {
                if (item.kind().equals("routes") && !item.dropped()) {
                    Route route = Route.of(item);
                    if (route.host().equals("h" + i % 2) && path.startsWith(route.prefix())) {
                        longest = Math.max(longest, route.prefix().length());
                    }
                }
            }
            Route route = table.route("h" + i % 2, path);
            assertEquals(route == null ? -1 : route.prefix().length(), longest);
        }
    }

    /** 300 drawn lives of a store and a proxy: verdicts, what changed since, and lookups. */
    @Test
    public void answersAreThoseOfATableThatIsReadAnew() throws Invalid {
        int good = 0;
        int invalid = 0;
        for (int life = 0; life < 300; life++) {
            Replica replica = new Replica();
            Poll poll = new Poll();
            Map<String, Item> all = new TreeMap<>();
            Map<String, Item> usable = null;
            for (int step = 1; step < 60; step++) {
                List<Item> call = new ArrayList<>();
                for (int i = 0; i <= random.nextInt(3); i++) {
                    call.add(drawn(step));
                }
                Map<String, Item> after = new TreeMap<>(all);
                for (Item item : call) {
                    if (item.over(after.get(item.key()))) {
                        after.put(item.key(), item);
                    }
                }
                boolean stands = stands(after.values());
                if (stands != (replica.judge("", call) == Replica.Verdict.GOOD)) {
                    throw new AssertionError(call + " beside " + all + ": " + replica.problem());
                }
                good += stands ? 1 : 0;
                invalid += stands ? 0 : 1;
                assertTrue(stands || !replica.problem().isEmpty());
                if (!stands && random.nextInt(4) > 0) {
                    continue; // else it comes in all the same, from elsewhere
                }
                long before = replica.changes();
                List<Item> merged = new ArrayList<>(after.values());
                merged.removeAll(all.values());
                replica.merge(merged);
                all = after;
                assertEquals(new HashSet<>(replica.since(before)), new HashSet<>(merged));
                assertEquals(new HashSet<>(replica.since(0)), new HashSet<>(all.values()));
                boolean changed = poll.take("a", 1, step, merged);
                if (changed) {
                    usable = new TreeMap<>(all);
                }
                assertEquals(poll.problem() == null, stands(all.values()));
                if (usable != null) {
                    same(poll.table(), usable.values());
                }
            }
        }
        assertTrue(good > 1_000 && invalid > 1_000, good + " good, " + invalid + " invalid");
    }

    /** What was usable stays in use until what came can be used, and the same table then has it. */
    @Test
    public void halfOfWhatBelongsTogetherChangesNothing() {
        Poll poll = new Poll();
        assertTrue(poll.take("a", 1, 1, List.of(new Item("plants", "p", 1, "{}"))));
        Table table = poll.table();
        Item route =
                new Item("routes", "r", 1, "{\"host\":\"h\",\"prefix\":\"/\",\"kind\":\"inflow\",\"plant\":\"q\"}");
        assertFalse(poll.take("a", 1, 2, List.of(route)));
        assertEquals(poll.problem(), "route r names the service q, which is not known");
        assertEquals(poll.table().route("h", "/"), null);
        assertTrue(poll.take("a", 1, 3, List.of(new Item("plants", "q", 1, "{}"))));
        assertSame(poll.table(), table);
        assertEquals(table.route("h", "/").name(), "r");
    }
}
