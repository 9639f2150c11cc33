package reedmux.control.configuration;

import java.util.Map;

/**
 * A service.
 *
 * @param ceiling connections that one checker takes from all callers together
 */
public record ServiceItem(String name, String healthCheckPath, int maxConnections) {
    private static final int DEFAULT_MAX_CONNECTIONS = 100;

    static ServiceItem parse(ConfigurationItem item) throws InvalidConfigurationException {
        String place = "plant " + item.name();
        Map<String, Object> map = ItemJson.requireObject(ItemJson.parse(item.body()), place);
        Object probe = map.get("probe");
        return new ServiceItem(
                item.name(), probe == null ? "/" : ItemJson.requireString(probe, place + ": probe"), (int)
                        ItemJson.numberOrDefault(
                                map.get("connCeiling"), DEFAULT_MAX_CONNECTIONS, place + ": connCeiling"));
    }
}
