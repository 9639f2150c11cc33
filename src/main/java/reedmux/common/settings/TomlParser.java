package reedmux.common.settings;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads the part of TOML that a settings file uses: tables, and keys with texts, numbers, flags and lists of
 * these. What is read is flat: {@code table.key} to its value.
 */
final class TomlParser {
    private final String file;
    private final String text;
    private int position;
    private int line = 1;

    private TomlParser(String file, String text) {
        this.file = file;
        this.text = text;
    }

    static Map<String, Object> parse(String file, String text) throws ProcessSettingsException {
        return new TomlParser(file, text).parseDocument();
    }

    private Map<String, Object> parseDocument() throws ProcessSettingsException {
        Map<String, Object> all = new LinkedHashMap<>();
        String table = "";
        for (skipBlanks(true); position < text.length(); skipBlanks(true)) {
            if (text.charAt(position) == '[') {
                int end = text.indexOf(']', position);
                if (end < 0) {
                    throw error("a table's name does not end");
                }
                table = text.substring(position + 1, end).trim() + '.';
                position = end + 1;
            } else {
                String key = table + parseKey();
                skipBlanks(false);
                if (position >= text.length() || text.charAt(position) != '=') {
                    throw error(key + " has no value");
                }
                position++;
                skipBlanks(false);
                if (all.put(key, parseValue(key)) != null) {
                    throw error(key + " is told twice");
                }
            }
            skipBlanks(false);
            if (position < text.length() && text.charAt(position) != '\n' && text.charAt(position) != '\r') {
                throw error("more follows on the line than can be read");
            }
        }
        return all;
    }

    private String parseKey() throws ProcessSettingsException {
        if (text.charAt(position) == '"') {
            return parseString("a key");
        }
        int begin = position;
        while (position < text.length()
                && (Character.isLetterOrDigit(text.charAt(position)) || "-_.".indexOf(text.charAt(position)) >= 0)) {
            position++;
        }
        if (begin == position) {
            throw error("a key cannot be read");
        }
        return text.substring(begin, position);
    }

    private Object parseValue(String key) throws ProcessSettingsException {
        char first = position < text.length() ? text.charAt(position) : '\n';
        if (first == '"') {
            return parseString(key);
        } else if (first == '[') {
            return parseList(key);
        }
        int begin = position;
        while (position < text.length() && ",]#\r\n \t".indexOf(text.charAt(position)) < 0) {
            position++;
        }
        String word = text.substring(begin, position);
        if (word.equals("true") || word.equals("false")) {
            return Boolean.valueOf(word);
        }
        try {
            return Double.valueOf(word.replace("_", ""));
        } catch (NumberFormatException e) {
            throw error(key + " is neither a text, a number, a flag nor a list");
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
            throw error(key + " is a text that does not end");
        }
        position++;
        return out.toString();
    }

    private List<Object> parseList(String key) throws ProcessSettingsException {
        List<Object> all = new ArrayList<>();
        position++;
        for (skipBlanks(true); position < text.length() && text.charAt(position) != ']'; skipBlanks(true)) {
            all.add(parseValue(key));
            skipBlanks(true);
            if (position < text.length() && text.charAt(position) == ',') {
                position++;
            } else if (position >= text.length() || text.charAt(position) != ']') {
                throw error(key + " is a list that does not end");
            }
        }
        if (position >= text.length()) {
            throw error(key + " is a list that does not end");
        }
        position++;
        return all;
    }

    /** Passes over blanks and remarks, and over ends of lines where they mean nothing. */
    private void skipBlanks(boolean lines) {
        for (; position < text.length(); position++) {
            char c = text.charAt(position);
            if (c == '#') {
                while (position + 1 < text.length() && text.charAt(position + 1) != '\n') {
                    position++;
                }
            } else if (c == '\n' && lines) {
                line++;
            } else if (c != ' ' && c != '\t' && (c != '\r' || !lines)) {
                return;
            }
        }
    }

    private ProcessSettingsException error(String what) {
        return new ProcessSettingsException(file + ":" + line + ": " + what);
    }
}
