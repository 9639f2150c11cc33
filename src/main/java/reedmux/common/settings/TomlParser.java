package reedmux.common.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses the part of TOML that a settings file uses: tables, and keys with strings, numbers, booleans and arrays of
 * these. The result is flat: each key has its table in front, as {@code table.key}.
 */
final class TomlParser {
    private final String file;
    private final String text;
    private int position;
    private int line = 1;
    private final Map<String, Object> values = new LinkedHashMap<>();
    private final Map<String, Integer> lines = new HashMap<>();

    private TomlParser(String file, String text) {
        this.file = file;
        this.text = text;
    }

    /**
     * Parses a file's text.
     *
     * @param file how errors name the file
     * @throws ProcessSettingsException if the text cannot be read, with its line
     */
    static SettingsDocument parse(String file, String text) throws ProcessSettingsException {
        return new TomlParser(file, text).parseDocument();
    }

    private SettingsDocument parseDocument() throws ProcessSettingsException {
        String table = "";
        for (skipBlanks(true); position < text.length(); skipBlanks(true)) {
            if (text.charAt(position) == '[') {
                table = parseTableName() + '.';
            } else {
                parseEntry(table);
            }
            skipBlanks(false);
            if (position < text.length() && text.charAt(position) != '\n' && text.charAt(position) != '\r') {
                throw error(null, "more follows on the line than can be read");
            }
        }
        return new SettingsDocument(file, values, lines);
    }

    private String parseTableName() throws ProcessSettingsException {
        int end = text.indexOf(']', position);
        if (end < 0) {
            throw error(null, "a table's name does not end");
        }
        String name = text.substring(position + 1, end).trim();
        position = end + 1;
        return name;
    }

    private void parseEntry(String table) throws ProcessSettingsException {
        String key = table + parseKey();
        lines.putIfAbsent(key, line);
        skipBlanks(false);
        if (position >= text.length() || text.charAt(position) != '=') {
            throw error(key, key + " has no value");
        }
        position++;
        skipBlanks(false);
        if (values.put(key, parseValue(key)) != null) {
            throw error(key, key + " is told twice");
        }
    }

    private String parseKey() throws ProcessSettingsException {
        if (text.charAt(position) == '"') {
            return parseString("a key");
        }
        int start = position;
        while (position < text.length()
                && (Character.isLetterOrDigit(text.charAt(position)) || "-_.".indexOf(text.charAt(position)) >= 0)) {
            position++;
        }
        if (start == position) {
            throw error(null, "a key cannot be read");
        }
        return text.substring(start, position);
    }

    private Object parseValue(String key) throws ProcessSettingsException {
        char first = position < text.length() ? text.charAt(position) : '\n';
        if (first == '"') {
            return parseString(key);
        } else if (first == '[') {
            return parseList(key);
        }
        int start = position;
        while (position < text.length() && ",]#\r\n \t".indexOf(text.charAt(position)) < 0) {
            position++;
        }
        String token = text.substring(start, position);
        if (token.equals("true") || token.equals("false")) {
            return Boolean.valueOf(token);
        }
        try {
            return Double.valueOf(token.replace("_", ""));
        } catch (NumberFormatException e) {
            throw error(key, key + " is neither a text, a number, a flag nor a list");
        }
    }

    private String parseString(String key) throws ProcessSettingsException {
        StringBuilder out = new StringBuilder();
        for (position++;
                position < text.length() && text.charAt(position) != '"' && text.charAt(position) != '\n';
                position++) {
            if (text.charAt(position) == '\\' && position + 1 < text.length()) {
                position++;
            }
            out.append(text.charAt(position));
        }
        if (position >= text.length() || text.charAt(position) != '"') {
            throw error(key, key + " is a text that does not end");
        }
        position++;
        return out.toString();
    }

    private List<Object> parseList(String key) throws ProcessSettingsException {
        List<Object> list = new ArrayList<>();
        position++;
        for (skipBlanks(true); position < text.length() && text.charAt(position) != ']'; skipBlanks(true)) {
            list.add(parseValue(key));
            skipBlanks(true);
            if (position < text.length() && text.charAt(position) == ',') {
                position++;
            } else if (position >= text.length() || text.charAt(position) != ']') {
                throw error(key, key + " is a list that does not end");
            }
        }
        if (position >= text.length()) {
            throw error(key, key + " is a list that does not end");
        }
        position++;
        return list;
    }

    /** Skips blanks and comments, and line ends too where they separate nothing. */
    private void skipBlanks(boolean acrossLines) {
        for (; position < text.length(); position++) {
            char c = text.charAt(position);
            if (c == '#') {
                while (position + 1 < text.length() && text.charAt(position + 1) != '\n') {
                    position++;
                }
            } else if (c == '\n' && acrossLines) {
                line++;
            } else if (c != ' ' && c != '\t' && (c != '\r' || !acrossLines)) {
                return;
            }
        }
    }

    private ProcessSettingsException error(String key, String problem) {
        return new ProcessSettingsException(file, line, key, problem);
    }
}
