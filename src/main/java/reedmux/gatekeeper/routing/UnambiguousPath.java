package reedmux.gatekeeper.routing;

/**
 * Checks that a path has only one interpretation. If routes depend on paths, a path that the provider might normalize
 * to a different path must be rejected. Rejected are dot segments, plain or encoded, empty segments, encoded slashes
 * and backslashes, path parameters, backslashes, fragments, incomplete escapes, and escapes of characters that need no
 * escaping.
 */
public final class UnambiguousPath {
    /** The result for a path with more than one interpretation. */
    public static final int AMBIGUOUS = -1;

    private UnambiguousPath() {}

    /**
     * Returns the end of the path in an origin-form target, which is the start of the query or the end of the target,
     * or {@link #AMBIGUOUS}.
     */
    public static int pathEnd(String target) {
        if (target.isEmpty() || target.charAt(0) != '/') {
            return AMBIGUOUS;
        }
        int segmentStart = 1;
        int index = 1;
        for (; index < target.length() && target.charAt(index) != '?'; index++) {
            char c = target.charAt(index);
            if (c == '/') {
                if (index == segmentStart || isDotSegment(target, segmentStart, index)) {
                    return AMBIGUOUS;
                }
                segmentStart = index + 1;
            } else if (c == '%') {
                if (!isNecessaryEscape(target, index)) {
                    return AMBIGUOUS;
                }
                index += 2;
            } else if (c <= ' ' || c >= 0x7F || c == '\\' || c == ';' || c == '#') {
                return AMBIGUOUS;
            }
        }
        return isDotSegment(target, segmentStart, index) ? AMBIGUOUS : index;
    }

    private static boolean isDotSegment(String target, int from, int to) {
        return to - from == 1 && target.charAt(from) == '.'
                || to - from == 2 && target.charAt(from) == '.' && target.charAt(from + 1) == '.';
    }

    /**
     * Returns whether an escape represents a character that must be escaped and is not a separator or control
     * character.
     */
    private static boolean isNecessaryEscape(String target, int index) {
        if (index + 2 >= target.length()) {
            return false;
        }
        int high = Character.digit(target.charAt(index + 1), 16);
        int low = Character.digit(target.charAt(index + 2), 16);
        if (high < 0 || low < 0 || target.charAt(index + 1) > 'f' || target.charAt(index + 2) > 'f') {
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
