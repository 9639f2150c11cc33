package reedmux.common.settings;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import reedmux.common.net.SocketAddresses;

/**
 * The values of one settings file by key, with typed accessors. An accessor throws an exception that names the file,
 * line and key if the value has another type. Immutable.
 */
final class SettingsDocument {
    private final String file;
    /** Values of type String, Double, Boolean or List of these; keys include the table, as in {@code sockets.front}. */
    private final Map<String, Object> values;

    private final Map<String, Integer> lines;

    /** Creates a document; {@code lines} holds the line number of each key, starting at 1. */
    SettingsDocument(String file, Map<String, Object> values, Map<String, Integer> lines) {
        this.file = file;
        this.values = values;
        this.lines = lines;
    }

    String file() {
        return file;
    }

    boolean contains(String key) {
        return values.containsKey(key);
    }

    /** Returns a non-empty text. */
    String requiredText(String key) throws ProcessSettingsException {
        if (!(values.get(key) instanceof String text) || text.isEmpty()) {
            throw invalidOrMissing(key, "is not a text");
        }
        return text;
    }

    List<?> requiredList(String key) throws ProcessSettingsException {
        if (!(values.get(key) instanceof List<?> list)) {
            throw invalidOrMissing(key, "is not a list");
        }
        return list;
    }

    InetSocketAddress requiredAddress(String key) throws ProcessSettingsException {
        InetSocketAddress address = SocketAddresses.parse(requiredText(key));
        if (address == null) {
            throw invalid(key, "is not an address:port");
        }
        return address;
    }

    /** Returns a text, or null if the key is missing. */
    String optionalText(String key) throws ProcessSettingsException {
        Object value = values.get(key);
        if (value != null && !(value instanceof String)) {
            throw invalid(key, "is not a text");
        }
        return (String) value;
    }

    boolean flag(String key, boolean defaultValue) throws ProcessSettingsException {
        Object value = values.getOrDefault(key, defaultValue);
        if (!(value instanceof Boolean flag)) {
            throw invalid(key, "is neither true nor false");
        }
        return flag;
    }

    /** Returns a number of 0 or more. */
    double number(String key, double defaultValue) throws ProcessSettingsException {
        Object value = values.getOrDefault(key, defaultValue);
        if (!(value instanceof Double number) || number < 0) {
            throw invalid(key, "is not a number of 0 or more");
        }
        return number;
    }

    /** Creates an exception about a key, with the line of the key. */
    ProcessSettingsException invalid(String key, String problem) {
        return new ProcessSettingsException(file, lines.getOrDefault(key, 0), key, key + ' ' + problem);
    }

    private ProcessSettingsException invalidOrMissing(String key, String problem) {
        return invalid(key, contains(key) ? problem : "is missing");
    }
}
