package reedmux.common.settings;

import java.net.InetSocketAddress;
import java.util.List;
import reedmux.common.net.SocketAddresses;

/**
 * The values of one settings file by key, with typed accessors. A key names a value in a table with a dot, as in {@code
 * sockets.front}. An accessor throws an exception that names the file, line and key if the value has another type.
 * Immutable.
 */
final class SettingsDocument {
    private final String file;
    private final TomlTable root;

    /** Creates a document; {@code root} must not change afterwards. */
    SettingsDocument(String file, TomlTable root) {
        this.file = file;
        this.root = root;
    }

    String file() {
        return file;
    }

    boolean contains(String key) throws ProcessSettingsException {
        return find(key) != null;
    }

    /** Returns the value of a key, or null if it or its table is missing. */
    private Object find(String key) throws ProcessSettingsException {
        TomlTable.TomlEntry entry = findEntry(key);
        return entry == null ? null : entry.value();
    }

    private TomlTable.TomlEntry findEntry(String key) throws ProcessSettingsException {
        TomlTable table = root;
        int start = 0;
        for (int dot = key.indexOf('.'); dot >= 0; dot = key.indexOf('.', start)) {
            TomlTable.TomlEntry entry = table.get(key.substring(start, dot));
            if (entry == null) {
                return null;
            } else if (!(entry.value() instanceof TomlTable next)) {
                String name = key.substring(0, dot);
                throw new ProcessSettingsException(file, entry.line(), key, name + " is not a table");
            } else {
                table = next;
            }
            start = dot + 1;
        }
        return table.get(key.substring(start));
    }

    /** Returns a non-empty text. */
    String requiredText(String key) throws ProcessSettingsException {
        if (!(find(key) instanceof String text) || text.isEmpty()) {
            throw invalidOrMissing(key, "is not a text");
        }
        return text;
    }

    List<?> requiredList(String key) throws ProcessSettingsException {
        if (!(find(key) instanceof List<?> list)) {
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
        Object value = find(key);
        if (value != null && !(value instanceof String)) {
            throw invalid(key, "is not a text");
        }
        return (String) value;
    }

    boolean flag(String key, boolean defaultValue) throws ProcessSettingsException {
        Object value = find(key);
        if (value != null && !(value instanceof Boolean)) {
            throw invalid(key, "is neither true nor false");
        }
        return value == null ? defaultValue : (Boolean) value;
    }

    /** Returns a number from 0 to a maximum. */
    double number(String key, double defaultValue, double max) throws ProcessSettingsException {
        Object value = find(key);
        if (value == null) {
            return defaultValue;
        }
        double number = value instanceof Number given ? given.doubleValue() : Double.NaN;
        if (!(number >= 0) || Double.isInfinite(number)) {
            throw invalid(key, "is not a number of 0 or more");
        } else if (number > max) {
            throw invalid(key, "is above " + (long) max);
        }
        return number;
    }

    /** Returns a whole number from 0 to a maximum. */
    int wholeNumber(String key, int defaultValue, int max) throws ProcessSettingsException {
        double number = number(key, defaultValue, max);
        if (number != Math.rint(number)) {
            throw invalid(key, "is not a whole number");
        }
        return (int) number;
    }

    /** Creates an exception about a key, with the line of the key. */
    ProcessSettingsException invalid(String key, String problem) {
        int line = 0;
        try {
            TomlTable.TomlEntry entry = findEntry(key);
            line = entry == null ? 0 : entry.line();
        } catch (ProcessSettingsException e) {
            line = e.line();
        }
        return new ProcessSettingsException(file, line, key, key + ' ' + problem);
    }

    private ProcessSettingsException invalidOrMissing(String key, String problem) throws ProcessSettingsException {
        return invalid(key, contains(key) ? problem : "is missing");
    }
}
