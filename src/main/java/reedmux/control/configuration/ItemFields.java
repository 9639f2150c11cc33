package reedmux.control.configuration;

import java.util.List;
import java.util.Map;

/** Typed access to the fields of a JSON object in an item; error messages contain the path of the field. */
final class ItemFields {
    private final String path;
    private final Map<String, Object> values;

    /** {@code path} names the object in error messages, as in {@code route shop}. */
    ItemFields(String path, Map<String, Object> values) {
        this.path = path;
        this.values = values;
    }

    /** Returns the path of a field, as in {@code route shop: host}. */
    private String pathOf(String key) {
        return path + ": " + key;
    }

    boolean has(String key) {
        return values.get(key) != null;
    }

    String requireString(String key) throws InvalidConfigurationException {
        return ItemJson.requireString(values.get(key), pathOf(key));
    }

    String stringOrDefault(String key, String defaultValue) throws InvalidConfigurationException {
        return has(key) ? requireString(key) : defaultValue;
    }

    /** Returns a number that is at least 0. */
    double numberOrDefault(String key, double defaultValue) throws InvalidConfigurationException {
        return ItemJson.numberOrDefault(values.get(key), defaultValue, pathOf(key));
    }

    boolean booleanOrDefault(String key, boolean defaultValue) throws InvalidConfigurationException {
        return ItemJson.booleanOrDefault(values.get(key), defaultValue, pathOf(key));
    }

    List<?> listOrEmpty(String key) throws InvalidConfigurationException {
        return ItemJson.listOrEmpty(values.get(key), pathOf(key));
    }

    /** Returns an element of this object's list {@code key} as a string. */
    String stringElement(String key, Object element) throws InvalidConfigurationException {
        return ItemJson.requireString(element, pathOf(key));
    }

    /** Returns the fields of an element of this object's list {@code key}; the element must be an object. */
    ItemFields elementOf(String key, Object element) throws InvalidConfigurationException {
        return new ItemFields(pathOf(key), ItemJson.requireObject(element, pathOf(key)));
    }

    /** {@code problem} follows the field's path in the message, as in {@code is empty}. */
    InvalidConfigurationException invalid(String key, String problem) {
        return new InvalidConfigurationException(pathOf(key), pathOf(key) + ' ' + problem);
    }
}
