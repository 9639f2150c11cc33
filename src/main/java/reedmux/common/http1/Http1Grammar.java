package reedmux.common.http1;

/**
 * The grammar of the lines of a head and of a chunked body, exactly that of RFC 9110, section 5, and RFC 9112, sections
 * 2 to 5 and 7.1. A lenient reader would accept what the next hop reads differently, which is how requests are
 * smuggled. Each {@code check} method returns what is wrong, or null. A line has no line end and one character a byte.
 */
public final class Http1Grammar {
    /** More hexadecimal digits than the size of any body that is accepted. */
    private static final int MAX_CHUNK_SIZE_DIGITS = 8;

    /** By ASCII code whether a character may be part of a token; a table, as every field name is checked. */
    private static final boolean[] TOKEN_CHARS = new boolean[0x7F];

    static {
        for (char c = ' ' + 1; c < TOKEN_CHARS.length; c++) {
            TOKEN_CHARS[c] = "\"(),/:;<=>?@[\\]{}".indexOf(c) < 0;
        }
    }

    private Http1Grammar() {}

    /** {@code method SP request-target SP HTTP-version}, with single spaces and none around it. */
    public static String checkRequestLine(CharSequence line) {
        int first = indexOf(line, ' ', 0);
        int second = first < 0 ? -1 : indexOf(line, ' ', first + 1);
        if (first <= 0 || !isToken(line, 0, first)) {
            return "the method is no token";
        } else if (second < 0 || second == first + 1) {
            return "the request line has no target, or no version";
        }
        for (int i = first + 1; i < second; i++) {
            if (line.charAt(i) <= ' ' || line.charAt(i) >= 0x7F) {
                return "the target holds a character that has no place there";
            }
        }
        return isVersion(line, second + 1) ? null : "the version is none of HTTP";
    }

    private static boolean isVersion(CharSequence line, int from) {
        return line.length() - from == 8
                && line.charAt(from) == 'H'
                && line.charAt(from + 1) == 'T'
                && line.charAt(from + 2) == 'T'
                && line.charAt(from + 3) == 'P'
                && line.charAt(from + 4) == '/'
                && isDigit(line.charAt(from + 5))
                && line.charAt(from + 6) == '.'
                && isDigit(line.charAt(from + 7));
    }

    /** {@code field-name ":" OWS field-value OWS}, without a space before the colon and without line folding. */
    public static String checkFieldLine(CharSequence line) {
        int colon = indexOf(line, ':', 0);
        if (line.length() > 0 && (line.charAt(0) == ' ' || line.charAt(0) == '\t')) {
            return "a header goes on in the next line, which is obsolete";
        } else if (colon <= 0 || !isToken(line, 0, colon)) {
            return "a header's name holds a character that has no place there";
        }
        for (int i = colon + 1; i < line.length(); i++) {
            char c = line.charAt(i);
            if (c < ' ' && c != '\t' || c == 0x7F) {
                return "a header's value holds a control character";
            }
        }
        return null;
    }

    /** {@code 1*HEXDIG *( BWS ";" BWS token [ BWS "=" BWS ( token / quoted-string ) ] )}. */
    public static String checkChunkLine(CharSequence line) {
        int at = 0;
        while (at < line.length() && isHex(line.charAt(at))) {
            at++;
        }
        if (at == 0 || at > MAX_CHUNK_SIZE_DIGITS) {
            return "a chunk's size cannot be read";
        }
        while (at < line.length()) {
            at = skipBlank(line, at);
            if (at == line.length() || line.charAt(at) != ';') {
                return "what follows a chunk's size cannot be read";
            }
            int name = skipBlank(line, at + 1);
            at = tokenEnd(line, name);
            if (at == name) {
                return "a chunk's extension has no name";
            }
            int equals = skipBlank(line, at);
            if (equals < line.length() && line.charAt(equals) == '=') {
                int value = skipBlank(line, equals + 1);
                at = value < line.length() && line.charAt(value) == '"'
                        ? quotedEnd(line, value)
                        : tokenEnd(line, value);
                if (at <= value) {
                    return "a chunk's extension has no value";
                }
            }
        }
        return null;
    }

    /** The size in a chunk's line that {@link #checkChunkLine} has accepted. */
    public static long parseChunkSize(CharSequence line) {
        long size = 0;
        for (int i = 0; i < line.length() && isHex(line.charAt(i)); i++) {
            size = size << 4 | Character.digit(line.charAt(i), 16);
        }
        return size;
    }

    /** Whether a text is one to {@code maxDigits} decimal digits and nothing else. */
    public static boolean isDecimal(String text, int maxDigits) {
        if (text.isEmpty() || text.length() > maxDigits) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            if (!isDigit(text.charAt(i))) {
                return false;
            }
        }
        return true;
    }

    /** The position behind a quoted string, or -1. */
    private static int quotedEnd(CharSequence line, int from) {
        for (int i = from + 1; i < line.length(); i++) {
            char c = line.charAt(i);
            if (c == '"') {
                return i + 1;
            } else if (c == '\\') {
                i++;
                c = i < line.length() ? line.charAt(i) : 0;
            }
            if (c < ' ' && c != '\t' || c == 0x7F) {
                return -1;
            }
        }
        return -1;
    }

    private static int skipBlank(CharSequence line, int from) {
        int at = from;
        while (at < line.length() && (line.charAt(at) == ' ' || line.charAt(at) == '\t')) {
            at++;
        }
        return at;
    }

    private static int tokenEnd(CharSequence line, int from) {
        int at = from;
        while (at < line.length() && isTokenChar(line.charAt(at))) {
            at++;
        }
        return at;
    }

    private static int indexOf(CharSequence line, char wanted, int from) {
        for (int i = from; i < line.length(); i++) {
            if (line.charAt(i) == wanted) {
                return i;
            }
        }
        return -1;
    }

    /** Whether a part of a line is a token, RFC 9110, section 5.6.2. */
    public static boolean isToken(CharSequence line, int from, int to) {
        for (int i = from; i < to; i++) {
            if (!isTokenChar(line.charAt(i))) {
                return false;
            }
        }
        return to > from;
    }

    private static boolean isTokenChar(char c) {
        return c < TOKEN_CHARS.length && TOKEN_CHARS[c];
    }

    private static boolean isDigit(char c) {
        return c >= '0' && c <= '9';
    }

    private static boolean isHex(char c) {
        return isDigit(c) || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F';
    }
}
