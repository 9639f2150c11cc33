package reedmux.gatekeeper.routing;

/**
 * Checks that a path has only one interpretation. If routes depend on paths, a path that the provider might normalize
 * to another one is rejected: dot segments, plain or encoded, empty segments, encoded slashes and backslashes, path
 * parameters, backslashes, fragments, incomplete escapes, and escapes of characters that need none.
 */
public final class UnambiguousPath {
    /** The result for a path with more than one interpretation. */
    public static final int AMBIGUOUS = -1;

    private UnambiguousPath() {}

    /** Where the path ends in an origin-form target, at its query or its own end, or {@link #AMBIGUOUS}. */
    public static int pathEnd(String target) {
        if (target.isEmpty() || target.charAt(0) != '/') {
            return AMBIGUOUS;
        }
        int segment = 1;
        int at = 1;
        for (; at < target.length() && target.charAt(at) != '?'; at++) {
            char c = target.charAt(at);
            if (c == '/') {
                if (at == segment || isDotSegment(target, segment, at)) {
                    return AMBIGUOUS;
                }
                segment = at + 1;
            } else if (c == '%') {
                if (!isNecessaryEscape(target, at)) {
                    return AMBIGUOUS;
                }
                at += 2;
            } else if (c <= ' ' || c >= 0x7F || c == '\\' || c == ';' || c == '#') {
                return AMBIGUOUS;
            }
        }
        return isDotSegment(target, segment, at) ? AMBIGUOUS : at;
    }

    private static boolean isDotSegment(String target, int from, int to) {
        return to - from == 1 && target.charAt(from) == '.'
                || to - from == 2 && target.charAt(from) == '.' && target.charAt(from + 1) == '.';
    }

    /** Whether an escape stands for a character that has to be escaped and is no separator. */
    private static boolean isNecessaryEscape(String target, int at) {
        if (at + 2 >= target.length()) {
            return false;
        }
        int high = Character.digit(target.charAt(at + 1), 16);
        int low = Character.digit(target.charAt(at + 2), 16);
        if (high < 0 || low < 0 || target.charAt(at + 1) > 'f' || target.charAt(at + 2) > 'f') {
            return false;
        }
        int value = high << 4 | low;
        boolean unreserved = value >= 'a' && value <= 'z'
                || value >= 'A' && value <= 'Z'
                || value >= '0' && value <= '9'
                || value == '-'
                || value == '.'
                || value == '_'
                || value == '~';
        return !unreserved && value != '/' && value != '\\' && value != ';' && value > ' ' - 1 && value != 0x7F;
    }
}
