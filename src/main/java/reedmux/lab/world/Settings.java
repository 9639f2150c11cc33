package reedmux.lab.world;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import reedmux.item.Item;
import reedmux.item.Json;

/** What the operators of a day want: calls with their items, valid and not. */
final class Settings {
    static final String[] SERVICES = {"desk", "intake"};
    private static final int ROUTES = 6;
    private static final int TENANTS = 3;
    private static final int LARGE = 400;
    static final double RATE = 60;
    static final double BURST = 60;
    private final Random random;
    private long revision = 7;
    private int added;
    private int keys;
    private final List<String> extra = new ArrayList<>();
    private final Set<String> swapped = new HashSet<>();
    private final Map<String, List<String>> keysOf = new LinkedHashMap<>();
    private final Map<String, Integer> serviceOf = new LinkedHashMap<>();

    Settings(Random random) {
        this.random = random;
    }

    private long next() {
        revision += 1 + random.nextInt(3);
        return revision;
    }

    private static String signal(String kind, String name, long at, String reference) {
        return "{\"signalKind\":\"" + kind + "\",\"heading\":{" + (name.isEmpty() ? "" : "\"name\":\"" + name + "\",")
                + "\"revision\":" + at + "},\"reference\":{" + reference + "}}";
    }

    private static String call(List<String> signals, String removed) {
        return "{\"apply\":{\"signals\":[" + String.join(",", signals) + "]},\"remove\":{" + removed + "}}";
    }

    private static String route(String name, String prefix, String service, boolean repeatable, long at) {
        return signal(
                "routes",
                name,
                at,
                "\"host\":\"h.example\",\"prefix\":\"" + prefix + "\",\"kind\":\""
                        + (repeatable ? "idempotent" : "effectful") + "\",\"cutoffMs\":3000,\"setpointMs\":400,"
                        + "\"priority\":1,\"plant\":\"" + service + "\",\"attempts\":2,\"unkeyed\":false");
    }

    private String tenant(String name, long at) {
        return signal(
                "tenants",
                name,
                at,
                "\"keys\":[\"" + String.join("\",\"", keysOf.get(name)) + "\"],\"priority\":1,\"flowPerS\":" + RATE
                        + ",\"burst\":" + BURST);
    }

    /** What requests under an item come to. */
    static String shows(Item item) {
        try {
            if (item.dropped()) {
                return InvariantChecker.NONE;
            }
            Map<String, Object> map = Json.map(Json.read(item.body()), "item");
            return item.kind().equals("routes")
                    ? String.valueOf(map.get("plant"))
                    : item.kind().equals("tenants") ? String.valueOf(map.get("keys")) : "";
        } catch (reedmux.item.Invalid e) {
            return "";
        }
    }

    /** The first call. */
    String first() {
        List<String> all = new ArrayList<>();
        long at = next();
        for (String service : SERVICES) {
            all.add(signal(
                    "plants",
                    service,
                    at,
                    "\"probe\":\"/health\",\"connCeiling\":110,\"protocol\":\"h1\",\"tls\":false"));
        }
        for (int i = 0; i < ROUTES; i++) {
            serviceOf.put("r" + i, i % 2);
            all.add(route("r" + i, "/r" + i + "/", SERVICES[i % 2], i % 3 != 0, at));
        }
        for (int i = 0; i < TENANTS; i++) {
            keysOf.put("t" + i, new ArrayList<>(List.of("key-" + i + "-first.")));
            all.add(tenant("t" + i, at));
        }
        all.add(signal(
                "saturation",
                "",
                at,
                "\"headerBytes\":16384,\"bodyBytes\":1048576,\"headerMs\":3000,\"idleMs\":15000"));
        return call(all, "");
    }

    private String moved(String name) {
        int to = serviceOf.merge(name, 1, (had, one) -> 1 - had);
        int number = Integer.parseInt(name.substring(1));
        return route(name, "/" + name + "/", SERVICES[to], number % 3 != 0, next());
    }

    /** A valid change. */
    String change() {
        String any = "r" + random.nextInt(ROUTES);
        switch (random.nextInt(6)) {
            case 0 -> {
                String name = "a" + added++;
                extra.add(name);
                return call(List.of(route(name, "/" + name + "/", SERVICES[random.nextInt(2)], true, next())), "");
            }
            case 1 -> {
                if (!extra.isEmpty()) {
                    String name = extra.remove(random.nextInt(extra.size()));
                    return call(List.of(), "\"routes\":[{\"name\":\"" + name + "\",\"revision\":" + next() + "}]");
                }
            }
            case 2 -> {
                if (!extra.isEmpty()) { // another takes its place, in one call
                    String name = extra.remove(random.nextInt(extra.size()));
                    swapped.add("routes/" + name);
                    long at = next();
                    return call(
                            List.of(route(name + 'n', "/" + name + "/", SERVICES[0], true, at)),
                            "\"routes\":[{\"name\":\"" + name + "\",\"revision\":" + at + "}]");
                }
            }
            case 3 -> {
                String name = "t" + random.nextInt(TENANTS);
                List<String> has = keysOf.get(name);
                if (has.size() > 1) {
                    has.remove(1);
                } else {
                    has.add("key-" + name + "-" + keys++ + '.');
                }
                return call(List.of(tenant(name, next())), "");
            }
            case 4 -> {
                String other = "r" + (Integer.parseInt(any.substring(1)) + 1) % ROUTES;
                return call(List.of(moved(any), moved(other)), "");
            }
            default -> {}
        }
        return call(List.of(moved(any)), "");
    }

    /** Two calls, each valid alone; {@code true}: together, too. */
    Map.Entry<Boolean, List<String>> pair() {
        switch (random.nextInt(3)) {
            case 0 -> {
                String prefix = "/w" + added++ + "/";
                String name = "w" + added++;
                return Map.entry(
                        false,
                        List.of(
                                call(List.of(route(name + 'x', prefix, SERVICES[0], true, next())), ""),
                                call(List.of(route(name + 'y', prefix, SERVICES[1], true, next())), "")));
            }
            case 1 -> {
                String key = "\"key-both-" + keys++ + ".\"";
                String body = "\"priority\":1,\"flowPerS\":" + RATE + ",\"burst\":" + BURST + ",\"keys\":[";
                return Map.entry(
                        false,
                        List.of(
                                call(List.of(signal("tenants", "x" + keys, next(), body + key + ']')), ""),
                                call(List.of(signal("tenants", "y" + keys, next(), body + key + ']')), "")));
            }
            default -> {
                String any = "r" + random.nextInt(ROUTES);
                return Map.entry(true, List.of(call(List.of(moved(any)), ""), call(List.of(moved(any)), "")));
            }
        }
    }

    /** Two calls with other contents under one number: one of them at most may be confirmed. */
    List<String> sameNumber() {
        String any = "r" + random.nextInt(ROUTES);
        long at = next();
        boolean repeats = Integer.parseInt(any.substring(1)) % 3 != 0;
        if (random.nextInt(3) == 0) {
            String name = "t" + random.nextInt(TENANTS);
            String one = tenant(name, at);
            keysOf.get(name).add("key-" + name + "-" + keys++ + '.');
            return List.of(call(List.of(one), ""), call(List.of(tenant(name, at)), ""));
        }
        return List.of(
                call(List.of(route(any, "/" + any + "/", SERVICES[0], repeats, at)), ""),
                call(List.of(route(any, "/" + any + "/", SERVICES[1], repeats, at)), ""));
    }

    /** Two valid calls, of which the second is valid only once the first is in force. */
    List<String> chain() {
        int number = added++;
        long at = next();
        if (random.nextBoolean()) {
            return List.of(
                    call(
                            List.of(signal(
                                    "plants",
                                    "p" + number,
                                    at,
                                    "\"probe\":\"/health\",\"connCeiling\":110,\"protocol\":\"h1\",\"tls\":false")),
                            ""),
                    call(List.of(route("c" + number, "/c" + number + "/", "p" + number, true, next())), ""));
        }
        String key = "\"key-handed-" + keys++ + ".\"";
        String body = "\"priority\":1,\"flowPerS\":" + RATE + ",\"burst\":" + BURST + ",\"keys\":[";
        String giver = "g" + number;
        return List.of(
                call(List.of(signal("tenants", giver, at, body + key + ']')), ""),
                call(
                        List.of(
                                signal("tenants", giver, next(), body + ']'),
                                signal("tenants", "h" + number, next(), body + key + ']')),
                        ""),
                call(
                        List.of(
                                signal("tenants", "h" + number, next(), body + ']'),
                                signal("tenants", giver, next(), body + key + ']')),
                        ""));
    }

    /** A valid call of many bytes. */
    String large() {
        String name = "big" + random.nextInt(4);
        long at = next();
        StringBuilder many = new StringBuilder();
        for (int i = 0; i < LARGE; i++) {
            many.append(i == 0 ? "\"" : ",\"")
                    .append("key-of-")
                    .append(name)
                    .append("-with-a-long-name-")
                    .append(at)
                    .append('-')
                    .append(i)
                    .append('"');
        }
        return call(
                List.of(signal(
                        "tenants",
                        name,
                        at,
                        "\"priority\":1,\"flowPerS\":" + RATE + ",\"burst\":" + BURST + ",\"keys\":[" + many + ']')),
                "");
    }

    /** A call that is invalid. */
    String invalid() {
        String name = "bad" + added++;
        return switch (random.nextInt(6)) {
            case 0 -> call(List.of(route(name, "/" + name + "/", "nobody", true, next())), "");
            case 1 -> call(List.of(route(name, "/r1/", SERVICES[0], true, next())), "");
            case 2 -> call(List.of(route(name, name + "/", SERVICES[0], true, next())), "");
            case 3 -> call(List.of(moved("r0")), "").replace("h.example", "");
            case 4 -> {
                String whole = change();
                yield whole.substring(0, whole.length() / 2);
            }
            default -> call(List.of(signal("tenants", name, next(), "\"priority\":1,\"keys\":[\"key-0-first.\"]")), "");
        };
    }

    /** Whether the place of a route has gone to another, so that what it shows says nothing of the first. */
    boolean swapped(String routeItem) {
        return swapped.contains(routeItem);
    }

    /** A request on a route that stays. */
    Clients.Wish wish() {
        return wish("t" + random.nextInt(TENANTS));
    }

    /** One of a tenant. */
    Clients.Wish wish(String name) {
        int number = random.nextInt(ROUTES);
        int tenant = Integer.parseInt(name.substring(1));
        return new Clients.Wish(
                "/r" + number + "/x",
                number % 3 != 0,
                "key-" + tenant + "-first.",
                name,
                SERVICES[serviceOf.get("r" + number)],
                "routes/r" + number,
                "tenants/t" + tenant);
    }

    /** A request that shows what is in force of a route or a key that may have changed. */
    Clients.Wish probe() {
        int tenant = random.nextInt(TENANTS);
        List<String> has = keysOf.get("t" + tenant);
        String route = added > 0 && random.nextInt(3) == 0 ? "a" + random.nextInt(added) : "r" + random.nextInt(ROUTES);
        boolean known = route.startsWith("r");
        String key = known && random.nextInt(3) == 0 && keys > 0
                ? "key-t" + tenant + '-' + random.nextInt(keys) + '.'
                : has.get(0);
        return new Clients.Wish("/" + route + "/x", true, key, null, null, "routes/" + route, "tenants/t" + tenant);
    }
}
