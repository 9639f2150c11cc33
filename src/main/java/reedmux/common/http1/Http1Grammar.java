package reedmux.common.http1;

/**
 * Validates the lines of a head and of a chunked body exactly by the grammar of RFC 9110, section 5, and RFC 9112,
 * sections 2 to 5 and 7.1. A lenient parser would accept lines that the next hop interprets differently, which allows
 * request smuggling. Each {@code check} method returns a description of the violation, or null if the line is valid.
 * Lines are passed without their line terminator, decoded as one character per byte.
 */
public final class Http1Grammar {
    /** The maximum number of hexadecimal digits of a chunk size; sufficient for any body that is accepted. */
    private static final int MAX_CHUNK_SIZE_DIGITS = 8;

    /** Whether a character may be part of a token, by ASCII code; a table for speed, as every field name is checked. */
    private static final boolean[] TOKEN_CHARS = new boolean[0x7F];

    static {
        for (char c = ' ' + 1; c < TOKEN_CHARS.length; c++) {
            TOKEN_CHARS[c] = "\"(),/:;<=>?@[\\]{}".indexOf(c) < 0;
        }
    }

    private Http1Grammar() {}

    /** Checks {@code method SP request-target SP HTTP-version}, with single spaces and no surrounding whitespace. */
    public static String checkRequestLine(CharSequence line) {
        int firstSpace = indexOf(line, ' ', 0);
        int secondSpace = firstSpace < 0 ? -1 : indexOf(line, ' ', firstSpace + 1);
        if (firstSpace <= 0 || !isToken(line, 0, firstSpace)) {
            return "the method is no token";
        } else if (secondSpace < 0 || secondSpace == firstSpace + 1) {
            return "the request line has no target, or no version";
        }
        for (int i = firstSpace + 1; i < secondSpace; i++) {
            if (line.charAt(i) <= ' ' || line.charAt(i) >= 0x7F) {
                return "the target holds a character that has no place there";
            }
        }
        return isVersion(line, secondSpace + 1) ? null : "the version is none of HTTP";
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

    /** Checks {@code field-name ":" OWS field-value OWS}, without a space before the colon and without line folding. */
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

    /** Checks {@code 1*HEXDIG *( BWS ";" BWS token [ BWS "=" BWS ( token / quoted-string ) ] )}. */
    public static String checkChunkLine(CharSequence line) {
        int index = 0;
        while (index < line.length() && isHex(line.charAt(index))) {
            index++;
        }
        if (index == 0 || index > MAX_CHUNK_SIZE_DIGITS) {
            return "a chunk's size cannot be read";
        }
        while (index < line.length()) {
            index = skipWhitespace(line, index);
            if (index == line.length() || line.charAt(index) != ';') {
                return "what follows a chunk's size cannot be read";
            }
            int nameStart = skipWhitespace(line, index + 1);
            index = tokenEnd(line, nameStart);
            if (index == nameStart) {
                return "a chunk's extension has no name";
            }
            int equalsSign = skipWhitespace(line, index);
            if (equalsSign < line.length() && line.charAt(equalsSign) == '=') {
                int valueStart = skipWhitespace(line, equalsSign + 1);
                index = valueStart < line.length() && line.charAt(valueStart) == '"'
                        ? quotedStringEnd(line, valueStart)
                        : tokenEnd(line, valueStart);
                if (index <= valueStart) {
                    return "a chunk's extension has no value";
                }
            }
        }
        return null;
    }

    /** Returns the chunk size of a line that {@link #checkChunkLine} has accepted. */
    public static long parseChunkSize(CharSequence line) {
        long size = 0;
        for (int i = 0; i < line.length() && isHex(line.charAt(i)); i++) {
            size = size << 4 | Character.digit(line.charAt(i), 16);
        }
        return size;
    }

    /** Returns whether a text consists of one to {@code maxDigits} decimal digits. */
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

    /** Returns the index after the quoted string that starts at {@code from}, or -1 if it is malformed. */
    private static int quotedStringEnd(CharSequence line, int from) {
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

    private static int skipWhitespace(CharSequence line, int from) {
        int index = from;
        while (index < line.length() && (line.charAt(index) == ' ' || line.charAt(index) == '\t')) {
            index++;
        }
        return index;
    }

    private static int tokenEnd(CharSequence line, int from) {
        int index = from;
        while (index < line.length() && isTokenChar(line.charAt(index))) {
            index++;
        }
        return index;
    }

    private static int indexOf(CharSequence line, char searched, int from) {
        for (int i = from; i < line.length(); i++) {
            if (line.charAt(i) == searched) {
                return i;
            }
        }
        return -1;
    }

    /** Returns whether a range of a line is a token as defined by RFC 9110, section 5.6.2. */
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
