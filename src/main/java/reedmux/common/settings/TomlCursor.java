package reedmux.common.settings;

/**
 * A position in the text of a TOML document that counts lines. It knows the tokens that separate values: blanks, line
 * ends and comments.
 */
final class TomlCursor {
    /** What {@link #peek} returns behind the last character. */
    static final char END = '\uFFFF';

    private static final char BYTE_ORDER_MARK = '\uFEFF';
    private static final char DELETE = '\u007F';

    private final String file;
    private final String text;
    private int position;
    private int line = 1;

    /** Starts at the first character of a text; {@code file} is the name in error messages. */
    TomlCursor(String file, String text) {
        this.file = file;
        this.text = text;
        if (!text.isEmpty() && text.charAt(0) == BYTE_ORDER_MARK) {
            position = 1;
        }
    }

    int line() {
        return line;
    }

    int position() {
        return position;
    }

    String textSince(int start) {
        return text.substring(start, position);
    }

    boolean isAtEnd() {
        return position >= text.length();
    }

    /** Returns the next character, or {@link #END}. */
    char peek() {
        return peek(0);
    }

    /** Returns the character {@code ahead} of the next one, or {@link #END}. */
    char peek(int ahead) {
        return position + ahead < text.length() ? text.charAt(position + ahead) : END;
    }

    /** Consumes the next character and returns it. */
    char next() {
        char c = text.charAt(position++);
        if (c == '\n') {
            line++;
        }
        return c;
    }

    /** Consumes {@code expected} if it comes next. */
    boolean skip(String expected) {
        if (!text.startsWith(expected, position)) {
            return false;
        }
        for (int i = 0; i < expected.length(); i++) {
            next();
        }
        return true;
    }

    /** Consumes a line feed, or a carriage return and a line feed, if one comes next. */
    boolean skipLineEnd() {
        return skip("\n") || skip("\r\n");
    }

    /** Skips spaces and tabs. */
    void skipBlanks() {
        while (peek() == ' ' || peek() == '\t') {
            position++;
        }
    }

    /** Skips blanks, line ends and comments. */
    void skipBlankLines() throws ProcessSettingsException {
        do {
            skipBlanks();
            skipComment();
        } while (skipLineEnd());
    }

    private void skipComment() throws ProcessSettingsException {
        if (peek() != '#') {
            return;
        }
        while (!isAtEnd() && peek() != '\n' && !(peek() == '\r' && peek(1) == '\n')) {
            if (isControl(peek())) {
                throw error(null, "a comment holds a control character");
            }
            position++;
        }
    }

    /** Skips the rest of a line on which nothing but a comment may follow. */
    void expectLineEnd(String key) throws ProcessSettingsException {
        skipBlanks();
        skipComment();
        if (!isAtEnd() && !skipLineEnd()) {
            throw error(key, "unexpected text at the end of the line" + (key == null ? "" : " of " + key));
        }
    }

    /** Returns whether a character may stand neither in a text nor in a comment; a tab may. */
    static boolean isControl(char c) {
        return c < ' ' && c != '\t' || c == DELETE;
    }

    /** Creates an exception about the current line; {@code key} may be null. */
    ProcessSettingsException error(String key, String problem) {
        return errorAt(line, key, problem);
    }

    /** Creates an exception about a line. */
    ProcessSettingsException errorAt(int errorLine, String key, String problem) {
        return new ProcessSettingsException(file, errorLine, key, problem);
    }
}
