package reedmux.common.settings;

import java.util.ArrayList;
import java.util.List;

/**
 * Parses TOML 1.0 completely, so that a file may gain fields of any type, and accepts what 1.1 adds: line ends and a
 * trailing comma in inline tables, the escapes {@code \e} and {@code \xHH}, and times without seconds. It is our own
 * because a start with a library took a quarter more CPU (docs/CAPACITY.md).
 */
final class TomlParser {
    /** Bounds the recursion, so that no file overflows the stack. */
    private static final int MAX_DEPTH = 200;

    private final TomlCursor cursor;
    private final TomlTable root = new TomlTable(TomlTable.Origin.HEADER);
    private int depth;

    private TomlParser(TomlCursor cursor) {
        this.cursor = cursor;
    }

    /**
     * Parses the text of a settings file.
     *
     * @param file the file name for error messages
     * @throws ProcessSettingsException with the line number, and the key if there is one, if the text is not valid
     */
    static SettingsDocument parse(String file, String text) throws ProcessSettingsException {
        TomlParser parser = new TomlParser(new TomlCursor(file, text));
        parser.parseDocument();
        return new SettingsDocument(file, parser.root);
    }

    private void parseDocument() throws ProcessSettingsException {
        TomlTable table = root;
        for (cursor.skipBlankLines(); !cursor.isAtEnd(); cursor.skipBlankLines()) {
            if (cursor.peek() == '[') {
                table = parseHeader();
                cursor.expectLineEnd(null);
            } else {
                cursor.expectLineEnd(parseEntry(table));
            }
        }
    }

    // ---- Headers -----------------------------------------------------------------------------------

    private TomlTable parseHeader() throws ProcessSettingsException {
        int line = cursor.line();
        boolean array = cursor.skip("[[");
        if (!array) {
            cursor.next();
        }
        cursor.skipBlanks();
        List<String> path = parseKeyPath();
        if (!cursor.skip(array ? "]]" : "]")) {
            throw cursor.error(null, "the name of a table has no closing bracket");
        }
        TomlTable parent = root;
        for (String key : path.subList(0, path.size() - 1)) {
            parent = tableOnPath(parent, key, path);
        }
        String name = path.get(path.size() - 1);
        return array ? addToArray(parent, name, path, line) : openTable(parent, name, path, line);
    }

    private TomlTable tableOnPath(TomlTable parent, String key, List<String> path) throws ProcessSettingsException {
        TomlTable.TomlEntry entry = parent.get(key);
        if (entry == null) {
            TomlTable created = new TomlTable(TomlTable.Origin.PATH);
            parent.put(key, created, cursor.line());
            return created;
        } else if (entry.value() instanceof TomlTableArray array) {
            return array.last();
        } else if (entry.value() instanceof TomlTable table && table.origin() != TomlTable.Origin.INLINE) {
            return table;
        }
        throw setBefore(path, entry);
    }

    private TomlTable openTable(TomlTable parent, String name, List<String> path, int line)
            throws ProcessSettingsException {
        TomlTable.TomlEntry entry = parent.get(name);
        if (entry == null) {
            TomlTable table = new TomlTable(TomlTable.Origin.HEADER);
            parent.put(name, table, line);
            return table;
        } else if (entry.value() instanceof TomlTable table && table.origin() == TomlTable.Origin.PATH) {
            table.setOrigin(TomlTable.Origin.HEADER);
            return table;
        }
        throw setBefore(path, entry);
    }

    private TomlTable addToArray(TomlTable parent, String name, List<String> path, int line)
            throws ProcessSettingsException {
        TomlTable.TomlEntry entry = parent.get(name);
        if (entry == null) {
            TomlTableArray array = new TomlTableArray();
            parent.put(name, array, line);
            return array.addTable();
        } else if (entry.value() instanceof TomlTableArray array) {
            return array.addTable();
        }
        throw setBefore(path, entry);
    }

    // ---- Keys and their values ---------------------------------------------------------------------

    /** Parses a key and its value into a table; returns the key as it is written in error messages. */
    private String parseEntry(TomlTable table) throws ProcessSettingsException {
        int line = cursor.line();
        List<String> path = parseKeyPath();
        String key = String.join(".", path);
        if (!cursor.skip("=")) {
            throw cursor.error(key, key + " has no value");
        }
        cursor.skipBlanks();
        TomlTable parent = table;
        for (String part : path.subList(0, path.size() - 1)) {
            parent = tableOfDottedKey(parent, part, path, line);
        }
        String name = path.get(path.size() - 1);
        if (parent.get(name) != null) {
            throw setBefore(path, parent.get(name));
        }
        parent.put(name, parseValue(key), line);
        return key;
    }

    private TomlTable tableOfDottedKey(TomlTable parent, String part, List<String> path, int line)
            throws ProcessSettingsException {
        TomlTable.TomlEntry entry = parent.get(part);
        if (entry == null) {
            TomlTable created = new TomlTable(TomlTable.Origin.DOTTED_KEY);
            parent.put(part, created, line);
            return created;
        } else if (entry.value() instanceof TomlTable table && table.origin() == TomlTable.Origin.DOTTED_KEY) {
            return table;
        }
        throw setBefore(path, entry);
    }

    private List<String> parseKeyPath() throws ProcessSettingsException {
        List<String> path = new ArrayList<>(2);
        do {
            cursor.skipBlanks();
            path.add(parseKey());
            cursor.skipBlanks();
        } while (cursor.skip("."));
        return path;
    }

    private String parseKey() throws ProcessSettingsException {
        if (cursor.peek() == '"' || cursor.peek() == '\'') {
            return TomlStrings.parseKey(cursor);
        }
        int start = cursor.position();
        while (isBareKey(cursor.peek())) {
            cursor.next();
        }
        if (cursor.position() == start) {
            throw cursor.error(null, "expected a key");
        }
        return cursor.textSince(start);
    }

    private static boolean isBareKey(char c) {
        return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_';
    }

    private Object parseValue(String key) throws ProcessSettingsException {
        return switch (cursor.peek()) {
            case '"', '\'' -> TomlStrings.parseValue(cursor, key);
            case '[' -> parseArray(key);
            case '{' -> parseInlineTable(key);
            default -> parseScalar(key);
        };
    }

    private List<Object> parseArray(String key) throws ProcessSettingsException {
        int line = enter(key);
        List<Object> elements = new ArrayList<>();
        cursor.skipBlankLines();
        while (!cursor.skip("]")) {
            elements.add(parseValue(key));
            expectSeparator(']', line, key, "the list has no closing bracket");
        }
        depth--;
        return elements;
    }

    private TomlTable parseInlineTable(String key) throws ProcessSettingsException {
        int line = enter(key);
        TomlTable table = new TomlTable(TomlTable.Origin.INLINE);
        cursor.skipBlankLines();
        while (!cursor.skip("}")) {
            parseEntry(table);
            expectSeparator('}', line, key, "the table has no closing brace");
        }
        depth--;
        return table;
    }

    /** Consumes the opening bracket of a nested value; returns its line. */
    private int enter(String key) throws ProcessSettingsException {
        if (++depth > MAX_DEPTH) {
            throw cursor.error(key, key + " is nested more than " + MAX_DEPTH + " levels deep");
        }
        cursor.next();
        return cursor.line();
    }

    /** Consumes a comma, which may be missing only before the closing bracket. */
    private void expectSeparator(char close, int firstLine, String key, String problem)
            throws ProcessSettingsException {
        cursor.skipBlankLines();
        if (cursor.skip(",")) {
            cursor.skipBlankLines();
        } else if (cursor.peek() != close) {
            throw cursor.errorAt(firstLine, key, key + ": " + problem);
        }
    }

    private Object parseScalar(String key) throws ProcessSettingsException {
        int start = cursor.position();
        skipToken();
        if (TomlDateTime.isDate(cursor.textSince(start)) && cursor.peek() == ' ' && isDigit(cursor.peek(1))) {
            cursor.next();
            skipToken();
        }
        String token = cursor.textSince(start);
        if (token.equals("true") || token.equals("false")) {
            return Boolean.valueOf(token);
        }
        Object value = TomlDateTime.isCandidate(token) ? TomlDateTime.parse(token) : parseNumber(token, key);
        if (value == null) {
            throw cursor.error(key, key + (token.isEmpty() ? " has no value" : " is not a TOML value: " + token));
        }
        return value;
    }

    private Number parseNumber(String token, String key) throws ProcessSettingsException {
        try {
            return TomlNumbers.parse(token);
        } catch (TomlNumbers.OverflowException e) {
            throw cursor.error(key, key + " is a number that 64 bits do not hold: " + token);
        }
    }

    private void skipToken() {
        while (!cursor.isAtEnd() && ",]}#\r\n \t".indexOf(cursor.peek()) < 0) {
            cursor.next();
        }
    }

    private static boolean isDigit(char c) {
        return c >= '0' && c <= '9';
    }

    private ProcessSettingsException setBefore(List<String> path, TomlTable.TomlEntry first) {
        String key = String.join(".", path);
        return cursor.error(key, key + " is set twice, first on line " + first.line());
    }
}
