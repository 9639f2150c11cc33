package reedmux.gatekeeper.http;

import java.util.HexFormat;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;

/**
 * Reads the target and the headers of requests. Numbers are digits only: the JDK's own parsers also accept signs and
 * the digits of other scripts.
 */
final class RequestHeaders {
    /** The time that is left until the request's deadline. */
    static final String EXPIRES_IN_MILLIS = "X-Expires-In-Ms";

    static final String TRACE_ID = "X-Trace-Id";
    /** Digits of the 64-bit numbers that identify traces and customers. */
    static final int HEX_DIGITS = 16;

    private static final long MAX_TIMEOUT_MILLIS = 3_600_000;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final Pattern INTEGER = Pattern.compile("[0-9]{1,18}");
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");
    private static final int INVALID = -1;

    private RequestHeaders() {}

    // ---- The target --------------------------------------------------------------------------------
    /** Whether a target reaches the provider as it is; what is not printable ASCII would not. */
    static boolean isPlainTarget(String target) {
        return target.startsWith("/") && target.chars().allMatch(c -> c > ' ' && c < 0x7F && c != '#');
    }

    /** The request class that a target names by its first segment. */
    static String requestClassName(String target) {
        int end = 1;
        while (end < target.length() && target.charAt(end) != '/' && target.charAt(end) != '?') {
            end++;
        }
        return target.isEmpty() ? "" : target.substring(1, end);
    }

    // ---- Headers -----------------------------------------------------------------------------------
    /** The content type, or null. */
    static String contentType(HttpRequest request) {
        Header header = request.getFirstHeader("Content-Type");
        return header == null ? null : header.getValue();
    }

    /** The value of a header that has to occur exactly once. */
    static String requireHeader(HttpRequest request, String name) throws InvalidHeaderException {
        Header header = request.getFirstHeader(name);
        if (header == null || header.getValue() == null || header.getValue().isEmpty()) {
            throw new InvalidHeaderException(name + " is missing");
        } else if (request.countHeaders(name) > 1) {
            throw new InvalidHeaderException(name + " is repeated");
        }
        return header.getValue();
    }

    /** A 64-bit number in hexadecimal digits, as text. */
    static String requireHexId(HttpRequest request, String name) throws InvalidHeaderException {
        String value = requireHeader(request, name);
        boolean valid = value.length() == HEX_DIGITS;
        for (int i = 0; valid && i < HEX_DIGITS; i++) {
            valid = HexFormat.isHexDigit(value.charAt(i));
        }
        if (!valid) {
            throw new InvalidHeaderException(name + " is not 16 hex digits");
        }
        return value;
    }

    /** The time that is left until the request's deadline, in microseconds. */
    static long remainingTimeMicros(HttpRequest request) throws InvalidHeaderException {
        long millis = parseInteger(requireHeader(request, EXPIRES_IN_MILLIS), MAX_TIMEOUT_MILLIS);
        if (millis < 0) {
            throw new InvalidHeaderException(
                    EXPIRES_IN_MILLIS + " is not a whole number from 0 to " + MAX_TIMEOUT_MILLIS);
        }
        return millis * MICROS_PER_MILLI;
    }

    // ---- Numbers -----------------------------------------------------------------------------------
    /** An integer from 0 to {@code max}, or -1 if the text is none. */
    static long parseInteger(String text, long max) {
        if (!INTEGER.matcher(text).matches()) {
            return INVALID;
        }
        long value = Long.parseLong(text);
        return value <= max ? value : INVALID;
    }

    /** A decimal number of 0 or more, or -1 if the text is none. */
    static double parseDecimal(String text) {
        return DECIMAL.matcher(text).matches() ? Double.parseDouble(text) : INVALID;
    }
}
