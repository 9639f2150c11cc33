package reedmux.common.http1;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The head of a request or of an answer, its header lines in their order. */
public final class Http1Head {
    /** Of a request; null in an answer. */
    private String method;

    private String target;
    private int status;
    private String version;
    private final List<String> names = new ArrayList<>();
    private final List<String> values = new ArrayList<>();

    private Http1Head() {}

    public static Http1Head request(String method, String target) {
        Http1Head head = new Http1Head();
        head.method = method;
        head.target = target;
        head.version = "HTTP/1.1";
        return head;
    }

    public static Http1Head response(int status) {
        Http1Head head = new Http1Head();
        head.status = status;
        head.version = "HTTP/1.1";
        return head;
    }

    Http1Head version(String told) {
        version = told;
        return this;
    }

    public String method() {
        return method;
    }

    public String target() {
        return target;
    }

    /** The target without its query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    public int status() {
        return status;
    }

    public boolean isHttp10() {
        return version.equals("HTTP/1.0");
    }

    public Http1Head add(String name, String value) {
        names.add(name);
        values.add(value);
        return this;
    }

    public int size() {
        return names.size();
    }

    public String name(int i) {
        return names.get(i);
    }

    public String value(int i) {
        return values.get(i);
    }

    /** The first header of that name, or null. */
    public String get(String name) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                return values.get(i);
            }
        }
        return null;
    }

    public int count(String name) {
        int count = 0;
        for (String told : names) {
            count += told.equalsIgnoreCase(name) ? 1 : 0;
        }
        return count;
    }

    /** Whether a header that is a list holds a word, without regard to case. */
    public boolean hasListToken(String name, String word) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                for (String told : values.get(i).split(",")) {
                    if (told.trim().equalsIgnoreCase(word)) {
                        return true;
                    }
                }
            }
        }
        return false;
    }

    /** Whether the connection ends behind this message. */
    public boolean closesConnection() {
        return hasListToken("Connection", "close") || isHttp10() && !hasListToken("Connection", "keep-alive");
    }

    /** Whether a header of this message concerns one connection only, RFC 9110, section 7.6.1. */
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

    /** As it goes over the wire. */
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
