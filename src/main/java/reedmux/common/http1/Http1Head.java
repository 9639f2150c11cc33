package reedmux.common.http1;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The head of a request or response, with its fields in the order of the message. Field names are case-insensitive.
 * Mutable and not thread-safe.
 */
public final class Http1Head {
    /** The request method; null in a response. */
    private String method;

    private String target;
    private int status;
    private String version;
    private final List<String> names = new ArrayList<>();
    private final List<String> values = new ArrayList<>();

    private Http1Head() {}

    /** Creates the head of an HTTP/1.1 request without fields. */
    public static Http1Head request(String method, String target) {
        Http1Head head = new Http1Head();
        head.method = method;
        head.target = target;
        head.version = "HTTP/1.1";
        return head;
    }

    /** Creates the head of an HTTP/1.1 response without fields. */
    public static Http1Head response(int status) {
        Http1Head head = new Http1Head();
        head.status = status;
        head.version = "HTTP/1.1";
        return head;
    }

    /** Sets the HTTP version of a received message, such as HTTP/1.0, and returns this head. */
    Http1Head setVersion(String newVersion) {
        version = newVersion;
        return this;
    }

    /** Returns the request method, or null in a response. */
    public String method() {
        return method;
    }

    /** Returns the request target as it was received, or null in a response. */
    public String target() {
        return target;
    }

    /** Returns the request target without its query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** Returns the status code of a response, or 0 in a request. */
    public int status() {
        return status;
    }

    /** Returns whether the version of the message is HTTP/1.0. */
    public boolean isHttp10() {
        return version.equals("HTTP/1.0");
    }

    /** Appends a field and returns this head. */
    public Http1Head add(String name, String value) {
        names.add(name);
        values.add(value);
        return this;
    }

    /** Returns the number of fields. */
    public int size() {
        return names.size();
    }

    /** Returns the name of the field at index {@code i}. */
    public String name(int i) {
        return names.get(i);
    }

    /** Returns the value of the field at index {@code i}. */
    public String value(int i) {
        return values.get(i);
    }

    /** Returns the value of the first field with the given name, or null if there is none. */
    public String get(String name) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                return values.get(i);
            }
        }
        return null;
    }

    /** Returns the number of fields with the given name. */
    public int count(String name) {
        int count = 0;
        for (String fieldName : names) {
            count += fieldName.equalsIgnoreCase(name) ? 1 : 0;
        }
        return count;
    }

    /** Returns whether a field with a comma-separated list contains a token, ignoring case. */
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

    /** Returns whether the sender closes the connection after this message (RFC 9112, section 9.3). */
    public boolean closesConnection() {
        return hasListToken("Connection", "close") || isHttp10() && !hasListToken("Connection", "keep-alive");
    }

    /** Returns whether a field applies to one connection only and must not be forwarded (RFC 9110, section 7.6.1). */
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

    /** Encodes the head as HTTP/1.1, including the empty line that ends it. */
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
