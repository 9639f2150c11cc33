package reedmux.control.configuration;

import java.util.Map;

/** The body of a {@link ConfigurationItem}, read and valid by itself; or what is wrong with it. */
sealed interface ParsedItem permits RouteItem, ServiceItem, TenantItem, RequestLimits, ParsedItem.ParseProblem {

    /** An item that can't be used; {@code message} says why. */
    record ParseProblem(String message) implements ParsedItem {}

    /**
     * Reads an item that is not deleted.
     *
     * @throws InvalidConfigurationException if its kind is unknown, or its body is no JSON or has a wrong field
     */
    static ParsedItem parse(ConfigurationItem item) throws InvalidConfigurationException {
        String path = pathOf(item.kind(), item.name());
        Map<String, Object> body = ItemJson.requireObject(ItemJson.parse(item.body()), path);
        return parse(item.kind(), item.name(), body);
    }

    /** As {@link #parse(ConfigurationItem)}, of an item whose JSON was read already. */
    static ParsedItem parse(String kind, String name, Map<String, Object> body) throws InvalidConfigurationException {
        ItemFields fields = new ItemFields(pathOf(kind, name), body);
        return switch (kind) {
            case ItemKinds.ROUTES -> RouteItem.parse(name, fields);
            case ItemKinds.SERVICES -> ServiceItem.parse(name, fields);
            case ItemKinds.TENANTS -> TenantItem.parse(name, fields);
            case ItemKinds.LIMITS -> RequestLimits.parse(fields);
            default -> throw unknownKind(kind);
        };
    }

    /** What an item is called towards operators. */
    private static String pathOf(String kind, String name) throws InvalidConfigurationException {
        return switch (kind) {
            case ItemKinds.ROUTES -> "route " + name;
            case ItemKinds.SERVICES -> "plant " + name;
            case ItemKinds.TENANTS -> "tenant " + name;
            case ItemKinds.LIMITS -> ItemKinds.LIMITS;
            default -> throw unknownKind(kind);
        };
    }

    private static InvalidConfigurationException unknownKind(String kind) {
        return new InvalidConfigurationException("no kind of item is called " + kind);
    }
}
