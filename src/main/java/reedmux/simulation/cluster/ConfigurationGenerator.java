package reedmux.simulation.cluster;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import reedmux.control.configuration.ConfigurationItem;
import reedmux.control.configuration.ItemJson;

/** Generates valid and invalid changes for operators, and the requests that use or probe the changed items. */
public final class ConfigurationGenerator {
    /** The services that routes target. */
    public static final List<String> SERVICES = List.of("desk", "intake");

    private static final int ROUTES = 6;
    private static final int TENANTS = 3;
    private static final int LARGE_KEY_COUNT = 400;
    /** The quota of each tenant in requests per second. */
    public static final double QUOTA_RATE = 60;

    /** The burst of each tenant in requests. */
    public static final double QUOTA_BURST = 60;

    private static final String USUAL_DURATIONS = "\"cutoffMs\":3000,\"setpointMs\":400";
    /** Durations at and beyond the ends of what takes effect; none is so short that no request could be served. */
    private static final List<String> EXTREME_DURATIONS = List.of(
            USUAL_DURATIONS,
            "\"cutoffMs\":3600000,\"setpointMs\":400",
            "\"cutoffMs\":1e300,\"setpointMs\":1e300",
            "\"cutoffMs\":11000,\"setpointMs\":0");

    private static final String USUAL_LIMITS =
            "\"headerBytes\":16384,\"bodyBytes\":1048576,\"headerMs\":3000,\"idleMs\":15000";
    private static final List<String> EXTREME_LIMITS = List.of(
            USUAL_LIMITS,
            "\"headerBytes\":1e300,\"bodyBytes\":1e300,\"headerMs\":1e300,\"idleMs\":1e300",
            "\"headerBytes\":512,\"bodyBytes\":400000,\"headerMs\":300,\"idleMs\":500");
    /** One in this many changes sets limits if settings are extreme. */
    private static final int LIMITS_CHANGE_SHARE = 6;

    private final Random random;
    private boolean extremeSettings;
    private long revision = 7;
    private int addedNames;
    private int addedKeys;
    private final List<String> extraRoutes = new ArrayList<>();
    private final Set<String> replacedRoutes = new HashSet<>();
    private final Map<String, List<String>> keysOf = new LinkedHashMap<>();
    private final Map<String, Integer> serviceOf = new LinkedHashMap<>();

    /** Creates a generator that draws all random values from {@code random}. */
    public ConfigurationGenerator(Random random) {
        this.random = random;
    }

    /** Returns a revision above all earlier ones. */
    public long nextRevision() {
        revision += 1 + random.nextInt(3);
        return revision;
    }

    /**
     * Returns the JSON of an item in a change.
     *
     * @param name      the name, or an empty string for an item without a name
     * @param reference the JSON members other than kind, name and revision
     */
    public static String itemJson(String kind, String name, long itemRevision, String reference) {
        return "{\"signalKind\":\"" + kind + "\",\"heading\":{" + (name.isEmpty() ? "" : "\"name\":\"" + name + "\",")
                + "\"revision\":" + itemRevision + "},\"reference\":{" + reference + "}}";
    }

    /** Returns the JSON body of a call that applies some items and removes others. */
    public static String callJson(List<String> signals, String removed) {
        return "{\"apply\":{\"signals\":[" + String.join(",", signals) + "]},\"remove\":{" + removed + "}}";
    }

    private String routeJson(String name, String prefix, String service, boolean idempotent, long itemRevision) {
        return itemJson(
                "routes",
                name,
                itemRevision,
                "\"host\":\"h.example\",\"prefix\":\"" + prefix + "\",\"kind\":\""
                        + (idempotent ? "idempotent" : "effectful") + "\"," + durationsJson() + ","
                        + "\"priority\":1,\"plant\":\"" + service + "\",\"attempts\":2,\"unkeyed\":false");
    }

    private String durationsJson() {
        return extremeSettings ? EXTREME_DURATIONS.get(random.nextInt(EXTREME_DURATIONS.size())) : USUAL_DURATIONS;
    }

    /** Sets whether changes set durations and limits to the ends of their ranges. */
    public void setExtremeSettings(boolean extreme) {
        extremeSettings = extreme;
    }

    private String limitsChange() {
        String limits = EXTREME_LIMITS.get(random.nextInt(EXTREME_LIMITS.size()));
        return callJson(List.of(itemJson("saturation", "", nextRevision(), limits)), "");
    }

    private String tenantJson(String name, long itemRevision) {
        return itemJson(
                "tenants",
                name,
                itemRevision,
                "\"keys\":[\"" + String.join("\",\"", keysOf.get(name)) + "\"],\"priority\":1,\"flowPerS\":"
                        + QUOTA_RATE + ",\"burst\":" + QUOTA_BURST);
    }

    /** Returns how requests reveal that an item is in force; see {@link ClusterInvariantChecker#onVersionSent}. */
    public static String visibleEffect(ConfigurationItem item) {
        try {
            if (item.isDeleted()) {
                return ClusterInvariantChecker.NO_EFFECT;
            }
            Map<String, Object> map = ItemJson.requireObject(ItemJson.parse(item.body()), "item");
            return item.kind().equals("routes")
                    ? String.valueOf(map.get("plant"))
                    : item.kind().equals("tenants") ? String.valueOf(map.get("keys")) : "";
        } catch (reedmux.control.configuration.InvalidConfigurationException e) {
            return "";
        }
    }

    /** Returns the first change of a run, which creates all services, routes, tenants and limits. */
    public String initialChange() {
        List<String> items = new ArrayList<>();
        long itemRevision = nextRevision();
        for (String service : SERVICES) {
            items.add(itemJson(
                    "plants",
                    service,
                    itemRevision,
                    "\"probe\":\"/health\",\"connCeiling\":110,\"protocol\":\"h1\",\"tls\":false"));
        }
        for (int i = 0; i < ROUTES; i++) {
            serviceOf.put("r" + i, i % 2);
            items.add(routeJson("r" + i, "/r" + i + "/", SERVICES.get(i % 2), i % 3 != 0, itemRevision));
        }
        for (int i = 0; i < TENANTS; i++) {
            keysOf.put("t" + i, new ArrayList<>(List.of("key-" + i + "-first.")));
            items.add(tenantJson("t" + i, itemRevision));
        }
        items.add(itemJson("saturation", "", itemRevision, USUAL_LIMITS));
        return callJson(items, "");
    }

    private String movedRouteJson(String name) {
        int service = serviceOf.merge(name, 1, (current, initial) -> 1 - current);
        int number = Integer.parseInt(name.substring(1));
        return routeJson(name, "/" + name + "/", SERVICES.get(service), number % 3 != 0, nextRevision());
    }

    /** Returns a valid change. */
    public String validChange() {
        if (extremeSettings && random.nextInt(LIMITS_CHANGE_SHARE) == 0) {
            return limitsChange();
        }
        String route = "r" + random.nextInt(ROUTES);
        switch (random.nextInt(6)) {
            case 0 -> {
                String name = "a" + addedNames++;
                extraRoutes.add(name);
                return callJson(
                        List.of(routeJson(
                                name, "/" + name + "/", SERVICES.get(random.nextInt(2)), true, nextRevision())),
                        "");
            }
            case 1 -> {
                if (!extraRoutes.isEmpty()) {
                    String name = extraRoutes.remove(random.nextInt(extraRoutes.size()));
                    return callJson(
                            List.of(), "\"routes\":[{\"name\":\"" + name + "\",\"revision\":" + nextRevision() + "}]");
                }
            }
            case 2 -> {
                if (!extraRoutes.isEmpty()) { // one call replaces the route by another one with the same prefix
                    String name = extraRoutes.remove(random.nextInt(extraRoutes.size()));
                    replacedRoutes.add("routes/" + name);
                    long itemRevision = nextRevision();
                    return callJson(
                            List.of(routeJson(name + 'n', "/" + name + "/", SERVICES.get(0), true, itemRevision)),
                            "\"routes\":[{\"name\":\"" + name + "\",\"revision\":" + itemRevision + "}]");
                }
            }
            case 3 -> {
                String name = "t" + random.nextInt(TENANTS);
                List<String> keys = keysOf.get(name);
                if (keys.size() > 1) {
                    keys.remove(1);
                } else {
                    keys.add("key-" + name + "-" + addedKeys++ + '.');
                }
                return callJson(List.of(tenantJson(name, nextRevision())), "");
            }
            case 4 -> {
                String otherRoute = "r" + (Integer.parseInt(route.substring(1)) + 1) % ROUTES;
                return callJson(List.of(movedRouteJson(route), movedRouteJson(otherRoute)), "");
            }
            default -> {}
        }
        return callJson(List.of(movedRouteJson(route)), "");
    }

    /** Returns two changes that are each valid alone; the key of the entry is whether they are also valid together. */
    public Map.Entry<Boolean, List<String>> concurrentPair() {
        switch (random.nextInt(3)) {
            case 0 -> {
                String prefix = "/w" + addedNames++ + "/";
                String name = "w" + addedNames++;
                return Map.entry(
                        false,
                        List.of(
                                callJson(
                                        List.of(routeJson(name + 'x', prefix, SERVICES.get(0), true, nextRevision())),
                                        ""),
                                callJson(
                                        List.of(routeJson(name + 'y', prefix, SERVICES.get(1), true, nextRevision())),
                                        "")));
            }
            case 1 -> {
                String key = "\"key-both-" + addedKeys++ + ".\"";
                String body = "\"priority\":1,\"flowPerS\":" + QUOTA_RATE + ",\"burst\":" + QUOTA_BURST + ",\"keys\":[";
                return Map.entry(
                        false,
                        List.of(
                                callJson(
                                        List.of(itemJson("tenants", "x" + addedKeys, nextRevision(), body + key + ']')),
                                        ""),
                                callJson(
                                        List.of(itemJson("tenants", "y" + addedKeys, nextRevision(), body + key + ']')),
                                        "")));
            }
            default -> {
                String route = "r" + random.nextInt(ROUTES);
                return Map.entry(
                        true,
                        List.of(
                                callJson(List.of(movedRouteJson(route)), ""),
                                callJson(List.of(movedRouteJson(route)), "")));
            }
        }
    }

    /** Returns two changes with different contents under one revision; at most one of them may be acknowledged. */
    List<String> conflictingPair() {
        String route = "r" + random.nextInt(ROUTES);
        long itemRevision = nextRevision();
        boolean idempotent = Integer.parseInt(route.substring(1)) % 3 != 0;
        if (random.nextInt(3) == 0) {
            String name = "t" + random.nextInt(TENANTS);
            String firstContent = tenantJson(name, itemRevision);
            keysOf.get(name).add("key-" + name + "-" + addedKeys++ + '.');
            return List.of(callJson(List.of(firstContent), ""), callJson(List.of(tenantJson(name, itemRevision)), ""));
        }
        return List.of(
                callJson(List.of(routeJson(route, "/" + route + "/", SERVICES.get(0), idempotent, itemRevision)), ""),
                callJson(List.of(routeJson(route, "/" + route + "/", SERVICES.get(1), idempotent, itemRevision)), ""));
    }

    /** Returns changes that each are valid only after the one before is in force. */
    List<String> dependentChain() {
        int number = addedNames++;
        long itemRevision = nextRevision();
        if (random.nextBoolean()) {
            return List.of(
                    callJson(
                            List.of(itemJson(
                                    "plants",
                                    "p" + number,
                                    itemRevision,
                                    "\"probe\":\"/health\",\"connCeiling\":110,\"protocol\":\"h1\",\"tls\":false")),
                            ""),
                    callJson(
                            List.of(routeJson("c" + number, "/c" + number + "/", "p" + number, true, nextRevision())),
                            ""));
        }
        String key = "\"key-handed-" + addedKeys++ + ".\"";
        String body = "\"priority\":1,\"flowPerS\":" + QUOTA_RATE + ",\"burst\":" + QUOTA_BURST + ",\"keys\":[";
        String firstTenant = "g" + number;
        return List.of(
                callJson(List.of(itemJson("tenants", firstTenant, itemRevision, body + key + ']')), ""),
                callJson(
                        List.of(
                                itemJson("tenants", firstTenant, nextRevision(), body + ']'),
                                itemJson("tenants", "h" + number, nextRevision(), body + key + ']')),
                        ""),
                callJson(
                        List.of(
                                itemJson("tenants", "h" + number, nextRevision(), body + ']'),
                                itemJson("tenants", firstTenant, nextRevision(), body + key + ']')),
                        ""));
    }

    /** Returns a valid change with a tenant of {@value #LARGE_KEY_COUNT} keys. */
    String largeChange() {
        String name = "big" + random.nextInt(4);
        long itemRevision = nextRevision();
        StringBuilder keys = new StringBuilder();
        for (int i = 0; i < LARGE_KEY_COUNT; i++) {
            keys.append(i == 0 ? "\"" : ",\"")
                    .append("key-of-")
                    .append(name)
                    .append("-with-a-long-name-")
                    .append(itemRevision)
                    .append('-')
                    .append(i)
                    .append('"');
        }
        return callJson(
                List.of(itemJson(
                        "tenants",
                        name,
                        itemRevision,
                        "\"priority\":1,\"flowPerS\":" + QUOTA_RATE + ",\"burst\":" + QUOTA_BURST + ",\"keys\":[" + keys
                                + ']')),
                "");
    }

    /** Returns an invalid change. */
    public String invalidChange() {
        String name = "bad" + addedNames++;
        return switch (random.nextInt(6)) {
            case 0 -> callJson(List.of(routeJson(name, "/" + name + "/", "nobody", true, nextRevision())), "");
            case 1 -> callJson(List.of(routeJson(name, "/r1/", SERVICES.get(0), true, nextRevision())), "");
            case 2 -> callJson(List.of(routeJson(name, name + "/", SERVICES.get(0), true, nextRevision())), "");
            case 3 -> callJson(List.of(movedRouteJson("r0")), "").replace("h.example", "");
            case 4 -> {
                String change = validChange();
                yield change.substring(0, change.length() / 2);
            }
            default ->
                callJson(
                        List.of(itemJson(
                                "tenants", name, nextRevision(), "\"priority\":1,\"keys\":[\"key-0-first.\"]")),
                        "");
        };
    }

    /** Returns whether another route has taken over the prefix of this one, so that requests no longer reveal it. */
    boolean isReplaced(String routeItem) {
        return replacedRoutes.contains(routeItem);
    }

    /** Returns a request of a random tenant to a route that is never removed. */
    public SimulatedClients.PlannedRequest planRequest() {
        return planRequest("t" + random.nextInt(TENANTS));
    }

    /** Returns a request of the given tenant to a route that is never removed. */
    SimulatedClients.PlannedRequest planRequest(String name) {
        int number = random.nextInt(ROUTES);
        int tenant = Integer.parseInt(name.substring(1));
        return new SimulatedClients.PlannedRequest(
                "/r" + number + "/x",
                number % 3 != 0,
                "key-" + tenant + "-first.",
                name,
                SERVICES.get(serviceOf.get("r" + number)),
                "routes/r" + number,
                "tenants/t" + tenant);
    }

    /** Returns a request that reveals which version of a possibly changed route or key is in force. */
    SimulatedClients.PlannedRequest planProbe() {
        int tenant = random.nextInt(TENANTS);
        List<String> keys = keysOf.get("t" + tenant);
        String route = addedNames > 0 && random.nextInt(3) == 0
                ? "a" + random.nextInt(addedNames)
                : "r" + random.nextInt(ROUTES);
        boolean initialRoute = route.startsWith("r");
        String key = initialRoute && random.nextInt(3) == 0 && addedKeys > 0
                ? "key-t" + tenant + '-' + random.nextInt(addedKeys) + '.'
                : keys.get(0);
        return new SimulatedClients.PlannedRequest(
                "/" + route + "/x", true, key, null, null, "routes/" + route, "tenants/t" + tenant);
    }
}
