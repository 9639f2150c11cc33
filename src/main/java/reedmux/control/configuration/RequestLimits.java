package reedmux.control.configuration;

import java.util.Map;

/** What a client may send and how long it may take, the item {@code saturation}; times are microseconds. */
public record RequestLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMicros, long idleTimeoutMicros) {
    /** What holds before there is an item. */
    public static final RequestLimits DEFAULTS = new RequestLimits(16_384, 64 << 20, 3_000_000, 15_000_000);

    /** Whatever either of the two allows. */
    public RequestLimits mostPermissive(RequestLimits other) {
        return new RequestLimits(
                Math.max(maxHeaderBytes, other.maxHeaderBytes),
                Math.max(maxBodyBytes, other.maxBodyBytes),
                Math.max(headerTimeoutMicros, other.headerTimeoutMicros),
                Math.max(idleTimeoutMicros, other.idleTimeoutMicros));
    }

    static RequestLimits parse(ConfigurationItem item) throws InvalidConfigurationException {
        Map<String, Object> map = ItemJson.requireObject(ItemJson.parse(item.body()), "saturation");
        return new RequestLimits(
                (int) ItemJson.numberOrDefault(
                        map.get("headerBytes"), DEFAULTS.maxHeaderBytes, "saturation: headerBytes"),
                (long) ItemJson.numberOrDefault(map.get("bodyBytes"), DEFAULTS.maxBodyBytes, "saturation: bodyBytes"),
                (long) (1000 * ItemJson.numberOrDefault(map.get("headerMs"), 3000, "saturation: headerMs")),
                (long) (1000 * ItemJson.numberOrDefault(map.get("idleMs"), 15_000, "saturation: idleMs")));
    }
}
