package reedmux.control.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A route as it is used; times are microseconds.
 *
 * @param repeatable whether a request may run more than once
 * @param cutoff     the longest time that a request is held
 * @param aim        the time within which an answer earns its full worth
 */
public record RouteItem(
        String name,
        String host,
        String prefix,
        boolean idempotent,
        long timeoutMicros,
        long latencyTargetMicros,
        int priority,
        List<WeightedService> services,
        int maxAttempts,
        boolean keyOptional) {

    /** A service that a share of the requests goes to. */
    public record WeightedService(String service, double weight) {}

    private static final long MICROS_PER_MILLI = 1000;
    private static final long MAX_DURATION_MILLIS = 3_600_000;

    static RouteItem parse(ConfigurationItem item) throws InvalidConfigurationException {
        String place = "route " + item.name();
        Map<String, Object> map = ItemJson.requireObject(ItemJson.parse(item.body()), place);
        String host = ItemJson.requireString(map.get("host"), place + ": host");
        String prefix = ItemJson.requireString(map.get("prefix"), place + ": prefix");
        if (host.isEmpty()) {
            throw new InvalidConfigurationException(place + ": host is empty");
        } else if (!prefix.startsWith("/")) {
            throw new InvalidConfigurationException(place + ": prefix does not begin with a slash");
        }
        List<WeightedService> parts = new ArrayList<>();
        Object split = map.get("split");
        if (split != null) {
            for (Object element : ItemJson.listOrEmpty(split, place + ": split")) {
                Map<String, Object> part = ItemJson.requireObject(element, place + ": split");
                parts.add(new WeightedService(
                        ItemJson.requireString(part.get("plant"), place + ": split: plant"),
                        ItemJson.numberOrDefault(part.get("gain"), 1, place + ": split: gain")));
            }
            if (parts.stream().mapToDouble(WeightedService::weight).sum() <= 0) {
                throw new InvalidConfigurationException(place + ": split has no gain above 0");
            }
        } else {
            parts.add(new WeightedService(ItemJson.requireString(map.get("plant"), place + ": plant"), 1));
        }
        String kind = ItemJson.requireString(map.get("kind"), place + ": kind");
        if (!List.of("idempotent", "effectful", "inflow").contains(kind)) {
            throw new InvalidConfigurationException(place + ": kind is none that is known: " + kind);
        }
        return new RouteItem(
                item.name(),
                host.toLowerCase(java.util.Locale.ROOT),
                prefix,
                kind.equals("idempotent"),
                durationMicros(map, "cutoffMs", place),
                durationMicros(map, "setpointMs", place),
                (int) ItemJson.numberOrDefault(map.get("priority"), 0, place + ": priority"),
                List.copyOf(parts),
                (int) Math.max(1, ItemJson.numberOrDefault(map.get("attempts"), 1, place + ": attempts")),
                ItemJson.booleanOrDefault(map.get("unkeyed"), false, place + ": unkeyed"));
    }

    private static long durationMicros(Map<String, Object> map, String key, String place)
            throws InvalidConfigurationException {
        return (long) Math.min(
                        MAX_DURATION_MILLIS,
                        ItemJson.numberOrDefault(map.get(key), MAX_DURATION_MILLIS, place + ": " + key))
                * MICROS_PER_MILLI;
    }
}
