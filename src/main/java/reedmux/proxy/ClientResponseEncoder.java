package reedmux.proxy;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import reedmux.common.http1.Http1Head;
import reedmux.proxy.request.ProxyResponse;

/** Encodes responses to clients as HTTP/1.1 messages. */
final class ClientResponseEncoder {
    /** Value in place of an idle timeout if the connection is closed after the response. */
    static final long CLOSE_CONNECTION = -1;

    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final int STATUS_NO_CONTENT = 204;
    private static final int STATUS_NOT_MODIFIED = 304;
    private static final String CONTENT_LENGTH = "Content-Length";

    private ClientResponseEncoder() {}

    /**
     * Encodes a response.
     *
     * @param request           request that is answered, or null if it was rejected by its head
     * @param idleTimeoutMicros time for which the connection may be idle after the response, or {@link
     *     #CLOSE_CONNECTION}
     */
    static byte[] encode(ProxyResponse response, ClientRequest request, long idleTimeoutMicros) {
        boolean headOnly = request != null && request.method().equals("HEAD");
        Http1Head head;
        byte[] body;
        if (response instanceof ProxyResponse.CheckerResponse checkerResponse) {
            head = buildHead(checkerResponse, headOnly);
            body = checkerResponse.body();
        } else {
            ProxyResponse.LocalResponse localResponse = (ProxyResponse.LocalResponse) response;
            head = buildHead(localResponse, request);
            body = (localResponse.text() + '\n').getBytes(StandardCharsets.UTF_8);
        }
        if (!headOnly && head.status() != STATUS_NO_CONTENT && head.status() != STATUS_NOT_MODIFIED) {
            head.add(CONTENT_LENGTH, Integer.toString(body.length));
        }
        if (idleTimeoutMicros == CLOSE_CONNECTION) {
            head.add("Connection", "close");
        } else {
            // One second less than the real timeout, so that a client does not send while the proxy closes the
            // connection.
            head.add("Keep-Alive", "timeout=" + Math.max(1, idleTimeoutMicros / MICROS_PER_SECOND - 1));
        }
        return headOnly ? head.encode() : concatenate(head.encode(), body);
    }

    private static Http1Head buildHead(ProxyResponse.CheckerResponse response, boolean headOnly) {
        Http1Head checkerHead = response.head();
        Http1Head head = Http1Head.response(checkerHead.status());
        for (int i = 0; i < checkerHead.size(); i++) {
            if (!checkerHead.isHopByHop(checkerHead.name(i))) {
                head.add(checkerHead.name(i), checkerHead.value(i));
            }
        }
        String length = checkerHead.get(CONTENT_LENGTH);
        if (headOnly && length != null) {
            head.add(CONTENT_LENGTH, length);
        }
        return head;
    }

    private static Http1Head buildHead(ProxyResponse.LocalResponse response, ClientRequest request) {
        Http1Head head = Http1Head.response(response.status()).add("Content-Type", "text/plain");
        if (response.retryAfterMicros() >= 0) {
            head.add("Retry-After", formatSeconds(response.retryAfterMicros()));
        }
        if (request != null) {
            head.add(RequestAdmission.ATTEMPT_ID_HEADER, request.attemptId());
        }
        return head;
    }

    /** Formats a time as seconds with three decimals, rounded up. */
    private static String formatSeconds(long micros) {
        long millis = (micros + 999) / 1000;
        return millis / 1000 + "." + Long.toString(1000 + millis % 1000).substring(1);
    }

    private static byte[] concatenate(byte[] first, byte[] second) {
        byte[] joined = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, joined, first.length, second.length);
        return joined;
    }
}
