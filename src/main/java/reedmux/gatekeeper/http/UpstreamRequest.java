package reedmux.gatekeeper.http;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;

/**
 * A request that this gateway sends.
 *
 * @param traceId         null to omit the header
 * @param expiresInMillis time left until the deadline in milliseconds; negative to omit the header
 * @param stream          the body if it is streamed, otherwise null
 * @param hop             the headers for another region, or null
 */
public record UpstreamRequest(
        String method,
        String target,
        String host,
        String traceId,
        long expiresInMillis,
        String contentType,
        byte[] body,
        BodyStream stream,
        RegionHop hop) {

    /**
     * The headers for another region: the regions passed, the idempotency of the request class, and the units counted
     * here.
     */
    public record RegionHop(String regionPath, String idempotency, String units) {}

    UpstreamRequest(
            String method,
            String target,
            String host,
            String traceId,
            long expiresInMillis,
            String contentType,
            byte[] body) {
        this(method, target, host, traceId, expiresInMillis, contentType, body, null, null);
    }

    private static final int REQUEST_LINE_OVERHEAD_BYTES = "  HTTP/1.1\r\n".length();
    private static final int HEADER_LINE_OVERHEAD_BYTES = ": \r\n".length();
    private static final int END_OF_HEAD_BYTES = "\r\n".length();

    static UpstreamRequest get(String target, String host) {
        return new UpstreamRequest("GET", target, host, null, -1, null, BufferedBody.EMPTY);
    }

    HttpRequest toHttpRequest() {
        HttpRequest head = StrictHeadParsers.requestWithRawTarget(method, target);
        head.addHeader("Host", host);
        if (traceId != null) {
            head.addHeader("X-Trace-Id", traceId);
        }
        if (expiresInMillis >= 0) {
            head.addHeader("X-Expires-In-Ms", Long.toString(expiresInMillis));
        }
        if (hop != null) {
            head.addHeader(RegionFrontend.REGION_PATH_HEADER, hop.regionPath());
            head.addHeader(RegionFrontend.REGION_REPEAT_HEADER, hop.idempotency());
            head.addHeader(RegionFrontend.REGION_UNITS_HEADER, hop.units());
        }
        if (contentType != null) {
            head.addHeader("Content-Type", contentType);
        }
        if (stream != null && stream.length() < 0) {
            head.addHeader("Transfer-Encoding", "chunked");
        } else if (stream != null) {
            head.addHeader("Content-Length", Long.toString(stream.length()));
        } else if (body.length > 0 || method.equals("POST")) {
            head.addHeader("Content-Length", Integer.toString(body.length));
        }
        return head;
    }

    /**
     * Returns the length of the request on the wire, from which the gateway determines whether a broken call can have
     * run; for a chunked body only the length of the head.
     */
    long lengthOnWire(HttpRequest head) {
        long length = REQUEST_LINE_OVERHEAD_BYTES
                + method.length()
                + target.length()
                + END_OF_HEAD_BYTES
                + body.length
                + (stream == null ? 0 : Math.max(0, stream.length()));
        for (Header header : head.getHeaders()) {
            length += header.getName().length() + header.getValue().length() + HEADER_LINE_OVERHEAD_BYTES;
        }
        return length;
    }
}
