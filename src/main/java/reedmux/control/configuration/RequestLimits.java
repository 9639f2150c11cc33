package reedmux.control.configuration;

/**
 * What a client may send, and how long it may take for that.
 *
 * @param maxHeaderBytes of a request's line and headers together
 * @param maxBodyBytes of a request's body
 * @param headerTimeoutMicros for a request's line and headers
 * @param idleTimeoutMicros without progress of a request, and between two requests of one connection
 */
public record RequestLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMicros, long idleTimeoutMicros)
        implements ParsedItem {
    /** What holds where there is no such item. */
    public static final RequestLimits DEFAULTS = new RequestLimits(16_384, 64 << 20, 3_000_000, 15_000_000);

    private static final long MICROS_PER_MILLI = 1000;

    /** The limits that allow whatever either of the two allows. */
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
