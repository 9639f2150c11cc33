package reedmux.control.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * A route: which requests go to which services, and what is promised to them.
 *
 * @param host of the requests, in lower case and without a port
 * @param prefix of the requests' paths; it begins with a slash
 * @param idempotent whether a request may be executed more than once, so that it is retried without knowing whether the
 *     first attempt was
 * @param timeoutMicros how long a request may take, waiting included
 * @param latencyTargetMicros within which a response has its full value
 * @param priority of the route's requests where capacity is short
 * @param services that the requests are split between; at least one has a weight above 0
 * @param maxAttempts how often a request is sent at most, the first time included
 * @param keyOptional whether requests need no tenant's key
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
        boolean keyOptional)
        implements ParsedItem {

    /**
     * A service of a route.
     *
     * @param weight the service's share of the requests is its part of the sum of all weights
     */
    public record WeightedService(String service, double weight) {}

    private static final long MICROS_PER_MILLI = 1000;
    /** What holds where a duration is not given, and where a longer one is. */
    private static final long MAX_DURATION_MILLIS = 3_600_000;

    private static final String IDEMPOTENT_KIND = "idempotent";
    private static final List<String> KINDS = List.of(IDEMPOTENT_KIND, "effectful", "inflow");

    static RouteItem parse(String name, ItemFields fields) throws InvalidConfigurationException {
        String host = fields.requireString("host");
        String prefix = fields.requireString("prefix");
        if (host.isEmpty()) {
            throw fields.invalid("host", "is empty");
        } else if (!prefix.startsWith("/")) {
            throw fields.invalid("prefix", "does not begin with a slash");
        }
        List<WeightedService> services = parseServices(fields);
        String kind = fields.requireString("kind");
        if (!KINDS.contains(kind)) {
            throw fields.invalid("kind", "is none that is known: " + kind);
        }
        return new RouteItem(
                name,
                host.toLowerCase(Locale.ROOT),
                prefix,
                kind.equals(IDEMPOTENT_KIND),
                parseDurationMicros(fields, "cutoffMs"),
                parseDurationMicros(fields, "setpointMs"),
                (int) fields.numberOrDefault("priority", 0),
                services,
                (int) Math.max(1, fields.numberOrDefault("attempts", 1)),
                fields.booleanOrDefault("unkeyed", false));
    }

    /** Either a list of services with weights, or one service. */
    private static List<WeightedService> parseServices(ItemFields fields) throws InvalidConfigurationException {
        if (!fields.has("split")) {
            return List.of(new WeightedService(fields.requireString("plant"), 1));
        }
        List<WeightedService> services = new ArrayList<>();
        boolean hasPositiveWeight = false;
        for (Object element : fields.listOrEmpty("split")) {
            ItemFields elementFields = fields.elementOf("split", element);
            WeightedService service =
                    new WeightedService(elementFields.requireString("plant"), elementFields.numberOrDefault("gain", 1));
            services.add(service);
            hasPositiveWeight |= service.weight() > 0;
        }
        if (!hasPositiveWeight) {
            throw fields.invalid("split", "has no gain above 0");
        }
        return List.copyOf(services);
    }

    private static long parseDurationMicros(ItemFields fields, String key) throws InvalidConfigurationException {
        double millis = Math.min(MAX_DURATION_MILLIS, fields.numberOrDefault(key, MAX_DURATION_MILLIS));
        return (long) millis * MICROS_PER_MILLI;
    }
}
