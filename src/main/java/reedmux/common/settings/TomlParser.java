package reedmux.common.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses the subset of TOML that a settings file uses: tables, and keys with strings, numbers, booleans and arrays of
 * these. The result is flat: each key is prefixed with its table, as in {@code table.key}.
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
     * Parses the text of a settings file.
     *
     * @param file the file name for error messages
     * @throws ProcessSettingsException with the line number, if the text cannot be parsed
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
                throw error(null, "unexpected text at the end of the line");
            }
        }
        return new SettingsDocument(file, values, lines);
    }

    private String parseTableName() throws ProcessSettingsException {
        int end = text.indexOf(']', position);
        if (end < 0) {
            throw error(null, "the name of a table has no closing bracket");
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
            throw error(key, key + " is set twice");
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
            throw error(null, "expected a key");
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
            throw error(key, key + " is not a text, number, flag or list");
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
            throw error(key, key + ": the text has no closing quote on its line");
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
                throw error(key, key + ": the list has no closing bracket");
            }
        }
        if (position >= text.length()) {
            throw error(key, key + ": the list has no closing bracket");
        }
        position++;
        return list;
    }

    /** Skips blanks and comments, and line ends as well if {@code acrossLines} is set. */
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
