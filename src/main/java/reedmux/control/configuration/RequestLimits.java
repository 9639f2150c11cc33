package reedmux.control.configuration;

/**
 * Limits for the sizes and durations of client requests.
 *
 * @param maxHeaderBytes the maximum size of the request line and headers together
 * @param maxBodyBytes the maximum size of a request body
 * @param headerTimeoutMicros how long a client may take to send the request line and headers
 * @param idleTimeoutMicros how long a request may make no progress, and how long a connection may be idle between two
 *     requests
 */
public record RequestLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMicros, long idleTimeoutMicros)
        implements ParsedItem {
    /** Used if the configuration contains no limits. */
    public static final RequestLimits DEFAULTS = new RequestLimits(16_384, 64 << 20, 3_000_000, 15_000_000);

    private static final long MICROS_PER_MILLI = 1000;

    /** Returns limits that allow everything that either of the two allows. */
    public RequestLimits mostPermissive(RequestLimits other) {
        return new RequestLimits(
                Math.max(maxHeaderBytes, other.maxHeaderBytes),
                Math.max(maxBodyBytes, other.maxBodyBytes),
                Math.max(headerTimeoutMicros, other.headerTimeoutMicros),
                Math.max(idleTimeoutMicros, other.idleTimeoutMicros));
    }

    static RequestLimits parse(ItemFields fields) throws InvalidConfigurationException {
        return new RequestLimits(
                (int) fields.numberOrDefault("headerBytes", DEFAULTS.maxHeaderBytes),
                (long) fields.numberOrDefault("bodyBytes", DEFAULTS.maxBodyBytes),
                parseMicros(fields, "headerMs", DEFAULTS.headerTimeoutMicros),
                parseMicros(fields, "idleMs", DEFAULTS.idleTimeoutMicros));
    }

    private static long parseMicros(ItemFields fields, String key, long defaultMicros)
            throws InvalidConfigurationException {
        double defaultMillis = (double) defaultMicros / MICROS_PER_MILLI;
        return (long) (MICROS_PER_MILLI * fields.numberOrDefault(key, defaultMillis));
    }
}
