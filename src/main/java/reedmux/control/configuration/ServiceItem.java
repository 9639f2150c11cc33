package reedmux.control.configuration;

/**
 * A service that instances register for.
 *
 * @param healthCheckPath the path of the health check requests to an instance
 * @param maxConnections the maximum number of connections to one instance from all proxies together
 */
public record ServiceItem(String name, String healthCheckPath, int maxConnections) implements ParsedItem {
    private static final int DEFAULT_MAX_CONNECTIONS = 100;
    private static final String DEFAULT_HEALTH_CHECK_PATH = "/";

    static ServiceItem parse(String name, ItemFields fields) throws InvalidConfigurationException {
        return new ServiceItem(name, fields.stringOrDefault("probe", DEFAULT_HEALTH_CHECK_PATH), (int)
                fields.numberOrDefault("connCeiling", DEFAULT_MAX_CONNECTIONS));
    }
}
