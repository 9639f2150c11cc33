package reedmux.gatekeeper.http;

import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import reedmux.gatekeeper.http.RequestFrontend.GatewayResponse;

/** Builds the heads of responses to consumers and other regions. */
final class ResponseHead {
    private static final int STATUS_METHOD_NOT_ALLOWED = 405;
    private static final int MICROS_PER_MILLI = 1_000;
    private static final int MILLIS_PER_SECOND = 1_000;

    private ResponseHead() {}

    /**
     * Returns the head of a response.
     *
     * @param request          the request that is answered
     * @param processingMicros time that this gateway took to process the request, in microseconds; negative to omit the
     *                         header
     * @param closesConnection whether the connection is closed after the response
     */
    static HttpResponse of(
            GatewayResponse response, HttpRequest request, long processingMicros, boolean closesConnection) {
        HttpResponse head = new BasicHttpResponse(response.status());
        if (response.contentType() != null) {
            head.addHeader("Content-Type", response.contentType());
        }
        addBodyHeader(head, response, request);
        if (response.retryAfterMicros() >= 0) {
            head.addHeader("Retry-After", formatSeconds(response.retryAfterMicros()));
        }
        if (response.neverRan()) {
            head.addHeader(RegionFrontend.NEVER_RAN_HEADER, "1");
        }
        if (processingMicros >= 0) {
            head.addHeader(RegionFrontend.REGION_TOOK_HEADER, Long.toString(processingMicros));
        }
        if (response.status() == STATUS_METHOD_NOT_ALLOWED) {
            head.addHeader("Allow", request.getMethod().equals("GET") ? "POST" : "GET");
        }
        if (closesConnection) {
            head.addHeader("Connection", "close");
        }
        return head;
    }

    /** HTTP/1.0 has no chunked coding, so the end of the connection delimits a body of unknown length. */
    private static void addBodyHeader(HttpResponse head, GatewayResponse response, HttpRequest request) {
        BodyStream stream = response.bodyStream();
        long length = stream == null ? response.body().length : stream.length();
        boolean http10 = request.getVersion() != null && request.getVersion().lessEquals(HttpVersion.HTTP_1_0);
        if (length >= 0) {
            head.addHeader("Content-Length", Long.toString(length));
        } else if (!http10) {
            head.addHeader("Transfer-Encoding", "chunked");
        }
    }

    /** Formats seconds with three decimals, rounded up, since a client that retries too early is rejected again. */
    static String formatSeconds(long micros) {
        long millis = (micros + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI;
        String decimals = Long.toString(MILLIS_PER_SECOND + millis % MILLIS_PER_SECOND);
        return millis / MILLIS_PER_SECOND + "." + decimals.substring(1);
    }
}
