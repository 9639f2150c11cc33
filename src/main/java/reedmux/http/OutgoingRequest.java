package reedmux.http;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;

/**
 * A request of ours; {@code traceId} may be null, and {@code expiresMs} below nought, to be left out.
 * {@code hop} is what another region is told beside, or null where it is no region that is called.
 */
record OutgoingRequest(
        String method,
        String target,
        String host,
        String traceId,
        long expiresMs,
        String contentType,
        byte[] body,
        Flow flow,
        Hop hop) {

    /** The regions passed, what a repeat does, and the units that were counted at home. */
    record Hop(String path, String repeat, String units) {}

    OutgoingRequest(
            String method,
            String target,
            String host,
            String traceId,
            long expiresMs,
            String contentType,
            byte[] body) {
        this(method, target, host, traceId, expiresMs, contentType, body, null, null);
    }

    private static final int REQUEST_LINE = "  HTTP/1.1\r\n".length();
    private static final int HEADER_LINE = ": \r\n".length();
    private static final int END_OF_HEAD = "\r\n".length();

    static OutgoingRequest get(String target, String host) {
        return new OutgoingRequest("GET", target, host, null, -1, null, Body.NONE);
    }

    HttpRequest head() {
        HttpRequest head = Heads.unparsed(method, target);
        head.addHeader("Host", host);
        if (traceId != null) {
            head.addHeader("X-Trace-Id", traceId);
        }
        if (expiresMs >= 0) {
            head.addHeader("X-Expires-In-Ms", Long.toString(expiresMs));
        }
        if (hop != null) {
            head.addHeader(RegionFront.PATH, hop.path());
            head.addHeader(RegionFront.REPEAT, hop.repeat());
            head.addHeader(RegionFront.UNITS, hop.units());
        }
        if (contentType != null) {
            head.addHeader("Content-Type", contentType);
        }
        if (flow != null && flow.length() < 0) {
            head.addHeader("Transfer-Encoding", "chunked");
        } else if (flow != null) {
            head.addHeader("Content-Length", Long.toString(flow.length()));
        } else if (body.length > 0 || method.equals("POST")) {
            head.addHeader("Content-Length", Integer.toString(body.length));
        }
        return head;
    }

    /**
     * Bytes of it on the wire, by which we know whether a broken call can have run; of a chunked body those
     * of its head alone.
     */
    long length(HttpRequest head) {
        long length = REQUEST_LINE
                + method.length()
                + target.length()
                + END_OF_HEAD
                + body.length
                + (flow == null ? 0 : Math.max(0, flow.length()));
        for (Header header : head.getHeaders()) {
            length += header.getName().length() + header.getValue().length() + HEADER_LINE;
        }
        return length;
    }
}
