package reedmux.gatekeeper.http;

import java.util.HexFormat;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;

/**
 * Reads the target and the headers of requests. Numbers must consist of ASCII digits; the JDK's own parsers also accept
 * signs and the digits of other scripts.
 */
final class RequestHeaders {
    /** Header with the time left until the request's deadline, in milliseconds. */
    static final String EXPIRES_IN_MILLIS = "X-Expires-In-Ms";

    static final String TRACE_ID = "X-Trace-Id";
    /** Number of hexadecimal digits of the 64-bit ids of traces and customers. */
    static final int HEX_DIGITS = 16;

    private static final long MAX_TIMEOUT_MILLIS = 3_600_000;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final Pattern INTEGER = Pattern.compile("[0-9]{1,18}");
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");
    private static final int INVALID = -1;

    private RequestHeaders() {}

    // ---- The target --------------------------------------------------------------------------------
    /**
     * Whether a target can be forwarded to the provider unchanged; characters other than printable ASCII would be
     * altered.
     */
    static boolean isPlainTarget(String target) {
        return target.startsWith("/") && target.chars().allMatch(c -> c > ' ' && c < 0x7F && c != '#');
    }

    /** Returns the name of the request class, which is the first segment of the target. */
    static String requestClassName(String target) {
        int end = 1;
        while (end < target.length() && target.charAt(end) != '/' && target.charAt(end) != '?') {
            end++;
        }
        return target.isEmpty() ? "" : target.substring(1, end);
    }

    // ---- Headers -----------------------------------------------------------------------------------
    /** Returns the content type, or null if the header is missing. */
    static String contentType(HttpRequest request) {
        Header header = request.getFirstHeader("Content-Type");
        return header == null ? null : header.getValue();
    }

    /** Returns the value of a header that must occur exactly once. */
    static String requireHeader(HttpRequest request, String name) throws InvalidHeaderException {
        Header header = request.getFirstHeader(name);
        if (header == null || header.getValue() == null || header.getValue().isEmpty()) {
            throw new InvalidHeaderException(name + " is missing");
        } else if (request.countHeaders(name) > 1) {
            throw new InvalidHeaderException(name + " is repeated");
        }
        return header.getValue();
    }

    /** Returns a header's value, which must be a 64-bit id in hexadecimal digits. */
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

    /** Returns the time left until the request's deadline, in microseconds. */
    static long remainingTimeMicros(HttpRequest request) throws InvalidHeaderException {
        long millis = parseInteger(requireHeader(request, EXPIRES_IN_MILLIS), MAX_TIMEOUT_MILLIS);
        if (millis < 0) {
            throw new InvalidHeaderException(
                    EXPIRES_IN_MILLIS + " is not a whole number from 0 to " + MAX_TIMEOUT_MILLIS);
        }
        return millis * MICROS_PER_MILLI;
    }

    // ---- Numbers -----------------------------------------------------------------------------------
    /** Parses an integer from 0 to {@code max}; returns -1 if the text is not one. */
    static long parseInteger(String text, long max) {
        if (!INTEGER.matcher(text).matches()) {
            return INVALID;
        }
        long value = Long.parseLong(text);
        return value <= max ? value : INVALID;
    }

    /** Parses a non-negative decimal number; returns -1 if the text is not one. */
    static double parseDecimal(String text) {
        return DECIMAL.matcher(text).matches() ? Double.parseDouble(text) : INVALID;
    }
}
