package reedmux.control.configuration;

import java.util.Map;

/** The parsed body of a {@link ConfigurationItem} that is valid on its own, or the problem with an invalid one. */
sealed interface ParsedItem permits RouteItem, ServiceItem, TenantItem, RequestLimits, ParsedItem.ParseProblem {

    /** An item that is invalid on its own; {@code message} describes the problem. */
    record ParseProblem(String message) implements ParsedItem {}

    /**
     * Parses an item that is not deleted.
     *
     * @throws InvalidConfigurationException if its kind is unknown, its body is not valid JSON, or a field is invalid
     */
    static ParsedItem parse(ConfigurationItem item) throws InvalidConfigurationException {
        String path = pathOf(item.kind(), item.name());
        Map<String, Object> body = ItemJson.requireObject(ItemJson.parse(item.body()), path);
        return parse(item.kind(), item.name(), body);
    }

    /** Like {@link #parse(ConfigurationItem)}, for an item whose JSON has already been parsed. */
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

    /** Returns the name of an item in error messages to operators. */
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
