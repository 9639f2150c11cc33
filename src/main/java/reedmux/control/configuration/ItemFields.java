package reedmux.control.configuration;

import java.util.List;
import java.util.Map;

/** The fields of a JSON object in an item, each read with a check; what is wrong is told with the path of the field. */
final class ItemFields {
    private final String path;
    private final Map<String, Object> values;

    /** {@code path}: what the object is, for operators, as in {@code route shop}. */
    ItemFields(String path, Map<String, Object> values) {
        this.path = path;
        this.values = values;
    }

    /** The field's path, as in {@code route shop: host}. */
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

    /** A number that is not below 0. */
    double numberOrDefault(String key, double defaultValue) throws InvalidConfigurationException {
        return ItemJson.numberOrDefault(values.get(key), defaultValue, pathOf(key));
    }

    boolean booleanOrDefault(String key, boolean defaultValue) throws InvalidConfigurationException {
        return ItemJson.booleanOrDefault(values.get(key), defaultValue, pathOf(key));
    }

    List<?> listOrEmpty(String key) throws InvalidConfigurationException {
        return ItemJson.listOrEmpty(values.get(key), pathOf(key));
    }

    /** A string that is an element of this object's list {@code key}. */
    String stringElement(String key, Object element) throws InvalidConfigurationException {
        return ItemJson.requireString(element, pathOf(key));
    }

    /** The fields of an object that is an element of this one's list {@code key}. */
    ItemFields elementOf(String key, Object element) throws InvalidConfigurationException {
        return new ItemFields(pathOf(key), ItemJson.requireObject(element, pathOf(key)));
    }

    /** {@code problem} goes on behind the field's path, as in {@code is empty}. */
    InvalidConfigurationException invalid(String key, String problem) {
        return new InvalidConfigurationException(pathOf(key), pathOf(key) + ' ' + problem);
    }
}
