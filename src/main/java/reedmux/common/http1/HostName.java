package reedmux.common.http1;

/**
 * Parses an authority as defined by RFC 9110, section 7.2, and RFC 3986, section 3.2.2, but more strictly where two
 * parsers might interpret it differently. Accepts a name of letters, digits, {@code -}, {@code _} and dots, an IPv4
 * address, and an IPv6 address in brackets, each with an optional port. Rejects userinfo, percent-encoding, empty
 * labels and non-ASCII characters. Does not allocate memory.
 */
public final class HostName {
    /** The result for text that is not a valid authority. */
    public static final int INVALID = -1;

    private static final int MAX_NAME_LENGTH = 255;
    private static final int MAX_LABEL_LENGTH = 63;
    private static final int MAX_PORT_DIGITS = 5;
    private static final int MAX_PORT = 65_535;

    private HostName() {}

    /**
     * Finds the end of the host in {@code authority}. The host excludes the port and the final dot of a fully qualified
     * name. Hosts are case-insensitive.
     *
     * @param from the index of the first character of the authority
     * @param to   the index after its last character
     * @return the index after the last character of the host, or {@link #INVALID}
     */
    public static int hostEnd(String authority, int from, int to) {
        if (from >= to || to - from > MAX_NAME_LENGTH + 1 + MAX_PORT_DIGITS) {
            return INVALID;
        }
        int end = authority.charAt(from) == '[' ? ipv6LiteralEnd(authority, from, to) : nameEnd(authority, from, to);
        if (end == INVALID || !isOptionalPort(authority, end, to)) {
            return INVALID;
        }
        boolean fullyQualified = authority.charAt(end - 1) == '.';
        return fullyQualified ? end - 1 : end;
    }

    /** Finds the end of the host in a string that holds only an authority; see {@link #hostEnd(String, int, int)}. */
    public static int hostEnd(String authority) {
        return hostEnd(authority, 0, authority.length());
    }

    private static int nameEnd(String text, int from, int to) {
        int labelLength = 0;
        int index = from;
        for (; index < to && text.charAt(index) != ':'; index++) {
            char c = text.charAt(index);
            if (c == '.') {
                if (labelLength == 0) {
                    return INVALID; // an empty label or a single dot
                }
                labelLength = 0;
            } else if (isLetterOrDigit(c) || c == '-' || c == '_') {
                if (++labelLength > MAX_LABEL_LENGTH) {
                    return INVALID;
                }
            } else {
                return INVALID;
            }
        }
        return index == from || index - from > MAX_NAME_LENGTH ? INVALID : index;
    }

    private static int ipv6LiteralEnd(String text, int from, int to) {
        int colons = 0;
        for (int index = from + 1; index < to; index++) {
            char c = text.charAt(index);
            if (c == ']') {
                return colons >= 2 ? index + 1 : INVALID;
            }
            colons += c == ':' ? 1 : 0;
            if (c != ':' && c != '.' && !isHex(c)) {
                return INVALID; // zone identifiers and IPvFuture are rejected
            }
        }
        return INVALID;
    }

    private static boolean isOptionalPort(String text, int from, int to) {
        if (from == to) {
            return true;
        }
        if (text.charAt(from) != ':' || from + 1 == to || to - from - 1 > MAX_PORT_DIGITS) {
            return false;
        }
        int port = 0;
        for (int i = from + 1; i < to; i++) {
            char c = text.charAt(i);
            if (c < '0' || c > '9') {
                return false;
            }
            port = port * 10 + c - '0';
        }
        return port > 0 && port <= MAX_PORT;
    }

    private static boolean isLetterOrDigit(char c) {
        return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9';
    }

    private static boolean isHex(char c) {
        return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F';
    }

    /** Converts an ASCII letter to lower case, for comparing hosts; returns other characters unchanged. */
    public static char toLowerCase(char c) {
        return c >= 'A' && c <= 'Z' ? (char) (c + ('a' - 'A')) : c;
    }
}
