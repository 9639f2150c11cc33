package reedmux.common.settings;

/** Parses the four kinds of strings of TOML: basic and literal ones, each on one line or on several. */
final class TomlStrings {
    private static final String BASIC_BLOCK = "\"\"\"";
    private static final String LITERAL_BLOCK = "'''";
    /** A block may end with up to two quotes of its own before the three that close it. */
    private static final int MAX_CLOSING_QUOTES = 5;

    private static final int HEX = 16;

    private final TomlCursor cursor;
    private final StringBuilder out = new StringBuilder();
    private final String key;
    private final int firstLine;

    private TomlStrings(TomlCursor cursor, String key) {
        this.cursor = cursor;
        this.key = key;
        firstLine = cursor.line();
    }

    /** Parses a string that may span lines; the cursor is at its first quote. {@code key} is for error messages. */
    static String parseValue(TomlCursor cursor, String key) throws ProcessSettingsException {
        TomlStrings parser = new TomlStrings(cursor, key);
        if (cursor.skip(BASIC_BLOCK)) {
            return parser.parseBlock('"', true);
        } else if (cursor.skip(LITERAL_BLOCK)) {
            return parser.parseBlock('\'', false);
        }
        return parser.parseLine();
    }

    /** Parses a quoted key, which stands on one line. */
    static String parseKey(TomlCursor cursor) throws ProcessSettingsException {
        return new TomlStrings(cursor, "a key").parseLine();
    }

    private String parseLine() throws ProcessSettingsException {
        char quote = cursor.next();
        while (cursor.peek() != quote) {
            if (cursor.isAtEnd() || cursor.peek() == '\n' || cursor.peek() == '\r') {
                throw error("the text has no closing quote on its line");
            }
            parseCharacter(quote == '"');
        }
        cursor.next();
        return out.toString();
    }

    private String parseBlock(char quote, boolean escapes) throws ProcessSettingsException {
        cursor.skipLineEnd();
        while (true) {
            if (cursor.isAtEnd()) {
                throw cursor.errorAt(firstLine, key, key + ": the text has no closing quotes");
            } else if (cursor.peek() == quote) {
                if (closesBlock(quote)) {
                    return out.toString();
                }
            } else if (cursor.skipLineEnd()) {
                out.append('\n');
            } else if (!escapes || !skipEscapedLineEnd()) {
                parseCharacter(escapes);
            }
        }
    }

    /** Consumes a run of quotes; returns whether it closes the block, and else appends it to the text. */
    private boolean closesBlock(char quote) {
        int quotes = 0;
        while (quotes < MAX_CLOSING_QUOTES && cursor.peek() == quote) {
            cursor.next();
            quotes++;
        }
        boolean closes = quotes >= BASIC_BLOCK.length();
        for (int i = closes ? BASIC_BLOCK.length() : 0; i < quotes; i++) {
            out.append(quote);
        }
        return closes;
    }

    /** Skips a backslash at the end of a line, with all blanks and line ends that follow. */
    private boolean skipEscapedLineEnd() {
        int ahead = 1;
        while (cursor.peek() == '\\' && (cursor.peek(ahead) == ' ' || cursor.peek(ahead) == '\t')) {
            ahead++;
        }
        boolean lineEnd = cursor.peek(ahead) == '\n' || cursor.peek(ahead) == '\r' && cursor.peek(ahead + 1) == '\n';
        if (cursor.peek() != '\\' || !lineEnd) {
            return false;
        }
        cursor.next();
        do {
            cursor.skipBlanks();
        } while (cursor.skipLineEnd());
        return true;
    }

    private void parseCharacter(boolean escapes) throws ProcessSettingsException {
        char c = cursor.next();
        if (TomlCursor.isControl(c)) {
            throw error("the text holds a control character");
        } else if (c == '\\' && escapes) {
            parseEscape();
        } else {
            out.append(c);
        }
    }

    private void parseEscape() throws ProcessSettingsException {
        char c = cursor.isAtEnd() ? TomlCursor.END : cursor.next();
        switch (c) {
            case 'b' -> out.append('\b');
            case 't' -> out.append('\t');
            case 'n' -> out.append('\n');
            case 'f' -> out.append('\f');
            case 'r' -> out.append('\r');
            case 'e' -> out.append('\u001B');
            case '"', '\\' -> out.append(c);
            case 'x' -> appendCodePoint(2);
            case 'u' -> appendCodePoint(4);
            case 'U' -> appendCodePoint(8);
            default -> throw error("the text holds an unknown escape");
        }
    }

    private void appendCodePoint(int digits) throws ProcessSettingsException {
        long codePoint = 0;
        for (int i = 0; i < digits; i++) {
            char c = cursor.peek();
            int digit = c < 128 ? Character.digit(c, HEX) : -1;
            if (digit < 0) {
                throw error("the text holds an escape of fewer than " + digits + " hex digits");
            }
            codePoint = codePoint * HEX + digit;
            cursor.next();
        }
        boolean surrogate = codePoint >= Character.MIN_SURROGATE && codePoint <= Character.MAX_SURROGATE;
        if (surrogate || codePoint > Character.MAX_CODE_POINT) {
            throw error("the text holds an escape that is no character");
        }
        out.appendCodePoint((int) codePoint);
    }

    private ProcessSettingsException error(String problem) {
        return cursor.error(key, key + ": " + problem);
    }
}
