package reedmux.common.http1;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The head of a request or a response, with its fields in the order of the message. Field names are compared without
 * regard to case. Mutable and not thread-safe.
 */
public final class Http1Head {
    /** Null in a response. */
    private String method;

    private String target;
    private int status;
    private String version;
    private final List<String> names = new ArrayList<>();
    private final List<String> values = new ArrayList<>();

    private Http1Head() {}

    /** The head of an HTTP/1.1 request without fields. */
    public static Http1Head request(String method, String target) {
        Http1Head head = new Http1Head();
        head.method = method;
        head.target = target;
        head.version = "HTTP/1.1";
        return head;
    }

    /** The head of an HTTP/1.1 response without fields. */
    public static Http1Head response(int status) {
        Http1Head head = new Http1Head();
        head.status = status;
        head.version = "HTTP/1.1";
        return head;
    }

    /** Sets the version that was received. */
    Http1Head version(String received) {
        version = received;
        return this;
    }

    /** The request's method; null in a response. */
    public String method() {
        return method;
    }

    /** The request's target as it was received; null in a response. */
    public String target() {
        return target;
    }

    /** The target without its query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** The response's status; 0 in a request. */
    public int status() {
        return status;
    }

    /** Whether the message is of HTTP/1.0. */
    public boolean isHttp10() {
        return version.equals("HTTP/1.0");
    }

    /** Appends a field and returns this head. */
    public Http1Head add(String name, String value) {
        names.add(name);
        values.add(value);
        return this;
    }

    /** The number of fields. */
    public int size() {
        return names.size();
    }

    /** The name of field {@code i}. */
    public String name(int i) {
        return names.get(i);
    }

    /** The value of field {@code i}. */
    public String value(int i) {
        return values.get(i);
    }

    /** The value of the first field of that name, or null. */
    public String get(String name) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                return values.get(i);
            }
        }
        return null;
    }

    /** How many fields have that name. */
    public int count(String name) {
        int count = 0;
        for (String each : names) {
            count += each.equalsIgnoreCase(name) ? 1 : 0;
        }
        return count;
    }

    /** Whether a field that is a comma-separated list holds a token, without regard to case. */
    public boolean hasListToken(String name, String token) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                for (String element : values.get(i).split(",")) {
                    if (element.trim().equalsIgnoreCase(token)) {
                        return true;
                    }
                }
            }
        }
        return false;
    }

    /** Whether the sender closes the connection after this message, RFC 9112, section 9.3. */
    public boolean closesConnection() {
        return hasListToken("Connection", "close") || isHttp10() && !hasListToken("Connection", "keep-alive");
    }

    /** Whether a field is for one connection only and is not forwarded, RFC 9110, section 7.6.1. */
    public boolean isHopByHop(String name) {
        return switch (name.toLowerCase(Locale.ROOT)) {
            case "connection",
                    "keep-alive",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "content-length",
                    "expect" -> true;
            default -> hasListToken("Connection", name);
        };
    }

    /** The head's bytes with the empty line at its end; always HTTP/1.1. */
    public byte[] encode() {
        StringBuilder out = new StringBuilder(512);
        if (method != null) {
            out.append(method).append(' ').append(target).append(" HTTP/1.1\r\n");
        } else {
            out.append("HTTP/1.1 ")
                    .append(status)
                    .append(' ')
                    .append(reasonPhrase(status))
                    .append("\r\n");
        }
        for (int i = 0; i < names.size(); i++) {
            out.append(names.get(i)).append(": ").append(values.get(i)).append("\r\n");
        }
        return out.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String reasonPhrase(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 201 -> "Created";
            case 204 -> "No Content";
            case 307 -> "Temporary Redirect";
            case 400 -> "Bad Request";
            case 401 -> "Unauthorized";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 408 -> "Request Timeout";
            case 413 -> "Content Too Large";
            case 421 -> "Misdirected Request";
            case 429 -> "Too Many Requests";
            case 431 -> "Request Header Fields Too Large";
            case 500 -> "Internal Server Error";
            case 502 -> "Bad Gateway";
            case 503 -> "Service Unavailable";
            case 504 -> "Gateway Timeout";
            default -> "Status";
        };
    }
}
