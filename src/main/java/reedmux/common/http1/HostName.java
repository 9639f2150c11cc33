package reedmux.common.http1;

/**
 * Parses an authority as RFC 9110, section 7.2, and RFC 3986, section 3.2.2, define it, and more strictly where two
 * readers might differ. Accepted are a name of letters, digits, {@code -}, {@code _} and dots, an IPv4 address, and an
 * IPv6 address in brackets, each with or without a port. Userinfo, percent-encoding, empty labels and characters beyond
 * ASCII are rejected. Allocates nothing.
 */
public final class HostName {
    /** The result for a text that is no host. */
    public static final int INVALID = -1;

    private static final int MAX_NAME_LENGTH = 255;
    private static final int MAX_LABEL_LENGTH = 63;
    private static final int MAX_PORT_DIGITS = 5;
    private static final int MAX_PORT = 65_535;

    private HostName() {}

    /**
     * The end of the host in {@code authority}, without its port and without the final dot of a fully qualified name.
     * Hosts are compared without regard to case.
     *
     * @param from where the authority begins
     * @param to   where it ends
     * @return the position behind the host, or {@link #INVALID}
     */
    public static int hostEnd(String authority, int from, int to) {
        if (from >= to || to - from > MAX_NAME_LENGTH + 1 + MAX_PORT_DIGITS) {
            return INVALID;
        }
        int end = authority.charAt(from) == '[' ? ipv6LiteralEnd(authority, from, to) : nameEnd(authority, from, to);
        if (end == INVALID || !isOptionalPort(authority, end, to)) {
            return INVALID;
        }
        boolean root = authority.charAt(end - 1) == '.';
        return root ? end - 1 : end;
    }

    /** As {@link #hostEnd(String, int, int)} for a whole string. */
    public static int hostEnd(String authority) {
        return hostEnd(authority, 0, authority.length());
    }

    private static int nameEnd(String text, int from, int to) {
        int label = 0;
        int at = from;
        for (; at < to && text.charAt(at) != ':'; at++) {
            char c = text.charAt(at);
            if (c == '.') {
                if (label == 0) {
                    return INVALID; // an empty label, or a dot alone
                }
                label = 0;
            } else if (isLetterOrDigit(c) || c == '-' || c == '_') {
                if (++label > MAX_LABEL_LENGTH) {
                    return INVALID;
                }
            } else {
                return INVALID;
            }
        }
        return at == from || at - from > MAX_NAME_LENGTH ? INVALID : at;
    }

    private static int ipv6LiteralEnd(String text, int from, int to) {
        int colons = 0;
        for (int at = from + 1; at < to; at++) {
            char c = text.charAt(at);
            if (c == ']') {
                return colons >= 2 ? at + 1 : INVALID;
            }
            colons += c == ':' ? 1 : 0;
            if (c != ':' && c != '.' && !isHex(c)) {
                return INVALID; // zone identifiers and IPvFuture are rejected
            }
        }
        return INVALID;
    }

    private static boolean isOptionalPort(String text, int at, int to) {
        if (at == to) {
            return true;
        }
        if (text.charAt(at) != ':' || at + 1 == to || to - at - 1 > MAX_PORT_DIGITS) {
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
        return port > 0 && port <= MAX_PORT;
    }

    private static boolean isLetterOrDigit(char c) {
        return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9';
    }

    private static boolean isHex(char c) {
        return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F';
    }

    /** A character in the case in which hosts are compared. */
    public static char toLowerCase(char c) {
        return c >= 'A' && c <= 'Z' ? (char) (c + ('a' - 'A')) : c;
    }
}
