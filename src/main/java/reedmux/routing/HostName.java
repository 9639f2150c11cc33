package reedmux.routing;

/**
 * Reads an authority as RFC 9110, section 7.2, and RFC 3986, section 3.2.2, have it, and more strictly where
 * two readers might differ: a name of letters, digits, {@code -}, {@code _} and dots, an IPv4 address, or an
 * IPv6 address in brackets, each with a port or without. Userinfo, percent signs, empty labels and
 * characters beyond ASCII are refused. Allocates nothing.
 */
public final class HostName {
    /** The result for what is no host, or might be read as two. */
    public static final int BAD = -1;

    private static final int LONGEST = 255;
    private static final int LONGEST_LABEL = 63;
    private static final int LONGEST_PORT = 5;
    private static final int MOST_PORT = 65_535;

    private HostName() {}

    /**
     * Where the host ends in {@code authority}, without port and without the dot of a name's root, or
     * {@link #BAD}. The host begins at {@code from} and is compared without regard to case.
     *
     * @param from where the authority begins
     * @param to   where it ends
     */
    public static int end(String authority, int from, int to) {
        if (from >= to || to - from > LONGEST + 1 + LONGEST_PORT) {
            return BAD;
        }
        int end = authority.charAt(from) == '[' ? literalEnd(authority, from, to) : nameEnd(authority, from, to);
        if (end == BAD || !portFollows(authority, end, to)) {
            return BAD;
        }
        boolean root = authority.charAt(end - 1) == '.';
        return root ? end - 1 : end;
    }

    /** As {@link #end(String, int, int)} for a whole string. */
    public static int end(String authority) {
        return end(authority, 0, authority.length());
    }

    private static int nameEnd(String text, int from, int to) {
        int label = 0;
        int at = from;
        for (; at < to && text.charAt(at) != ':'; at++) {
            char c = text.charAt(at);
            if (c == '.') {
                if (label == 0) {
                    return BAD; // an empty label, or a dot alone
                }
                label = 0;
            } else if (isLetterOrDigit(c) || c == '-' || c == '_') {
                if (++label > LONGEST_LABEL) {
                    return BAD;
                }
            } else {
                return BAD;
            }
        }
        return at == from || at - from > LONGEST ? BAD : at;
    }

    private static int literalEnd(String text, int from, int to) {
        int colons = 0;
        for (int at = from + 1; at < to; at++) {
            char c = text.charAt(at);
            if (c == ']') {
                return colons >= 2 ? at + 1 : BAD;
            }
            colons += c == ':' ? 1 : 0;
            if (c != ':' && c != '.' && !isHex(c)) {
                return BAD; // zones and future forms have no place here
            }
        }
        return BAD;
    }

    private static boolean portFollows(String text, int at, int to) {
        if (at == to) {
            return true;
        }
        if (text.charAt(at) != ':' || at + 1 == to || to - at - 1 > LONGEST_PORT) {
            return false;
        }
        int port = 0;
        for (int i = at + 1; i < to; i++) {
            char c = text.charAt(i);
            if (c < '0' || c > '9') {
                return false;
            }
            port = port * 10 + c - '0';
        }
        return port > 0 && port <= MOST_PORT;
    }

    private static boolean isLetterOrDigit(char c) {
        return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9';
    }

    private static boolean isHex(char c) {
        return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F';
    }

    /** A character in the case in which hosts are compared. */
    static char lower(char c) {
        return c >= 'A' && c <= 'Z' ? (char) (c + ('a' - 'A')) : c;
    }
}
