package reedmux.control.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * A route: selects requests by host and path prefix, and defines the services, timeouts and priority for them.
 *
 * @param host the host of the requests, in lower case and without a port
 * @param prefix the prefix of the requests' paths, which begins with a slash
 * @param idempotent whether a request may be executed more than once; such a request is retried even if it is unknown
 *     whether the first attempt was executed
 * @param timeoutMicros the maximum duration of a request, including queueing
 * @param latencyTargetMicros the latency up to which a response has its full value
 * @param priority the priority of the route's requests when capacity is short
 * @param services the services that the requests are split between; at least one has a weight above 0
 * @param maxAttempts the maximum number of attempts for a request, including the first
 * @param keyOptional whether requests are accepted without a tenant's key
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
     * @param weight the service receives a share of the requests equal to this weight divided by the sum of all weights
     */
    public record WeightedService(String service, double weight) {}

    private static final long MICROS_PER_MILLI = 1000;
    /** The default of durations that are not specified, and the upper limit of those that are; 1 h. */
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

    /** Parses either a list of services with weights or a single service. */
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
