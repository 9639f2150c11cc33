package reedmux.gatekeeper.http;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import reedmux.common.http1.HostName;

/** A request's target, RFC 9112, section 3.2. */
final class RequestTarget {
    private static final String SCHEME = "http://";

    private RequestTarget() {}

    /**
     * Puts a target in absolute form into origin form, which is all that is read from then on. False where it
     * is of another scheme, or names another host than {@code Host} does: of two hosts none is believed.
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

    private static boolean isSameAuthority(String one, String other) {
        int end = HostName.hostEnd(one);
        return end == HostName.hostEnd(other)
                && one.regionMatches(true, 0, other, 0, end)
                && port(one).equals(port(other));
    }

    private static String port(String authority) {
        int colon = authority.lastIndexOf(':');
        boolean none = colon < 0 || authority.endsWith("]");
        return none ? "80" : authority.substring(colon + 1);
    }
}
