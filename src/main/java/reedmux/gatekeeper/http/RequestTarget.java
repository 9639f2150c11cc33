package reedmux.gatekeeper.http;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import reedmux.common.http1.HostName;

/** The target of a request (RFC 9112, section 3.2). */
final class RequestTarget {
    private static final String SCHEME = "http://";

    private RequestTarget() {}

    /**
     * Converts a target in absolute form into origin form. Returns false if the scheme is not {@code http}, the
     * authority differs from the {@code Host} header, or the target has a fragment.
     */
    static boolean toOriginForm(HttpRequest request) {
        String target = request.getPath();
        if (target.startsWith("/")) {
            return true;
        }
        if (!target.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return false;
        }
        int begin = SCHEME.length();
        int end = begin;
        while (end < target.length() && "/?#".indexOf(target.charAt(end)) < 0) {
            end++;
        }
        String authority = target.substring(begin, end);
        Header host = request.getFirstHeader("Host");
        if (HostName.hostEnd(authority) == HostName.INVALID
                || host == null
                || !isSameAuthority(authority, host.getValue())) {
            return false;
        }
        String rest = target.substring(end);
        if (rest.indexOf('#') >= 0) {
            return false;
        }
        request.setPath(rest.startsWith("/") ? rest : '/' + rest);
        return true;
    }

    private static boolean isSameAuthority(String authority, String host) {
        int end = HostName.hostEnd(authority);
        return end == HostName.hostEnd(host)
                && authority.regionMatches(true, 0, host, 0, end)
                && port(authority).equals(port(host));
    }

    private static String port(String authority) {
        int colon = authority.lastIndexOf(':');
        boolean defaultPort = colon < 0 || authority.endsWith("]");
        return defaultPort ? "80" : authority.substring(colon + 1);
    }
}
