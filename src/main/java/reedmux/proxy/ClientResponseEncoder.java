package reedmux.proxy;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import reedmux.common.http1.Http1Head;
import reedmux.proxy.request.ProxyResponse;

/** The bytes of the responses to clients. */
final class ClientResponseEncoder {
    /** In place of an idle time: the response is the last one on its connection. */
    static final long CLOSES = -1;

    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final String CONTENT_LENGTH = "Content-Length";

    private ClientResponseEncoder() {}

    /**
     * Encodes a response.
     *
     * @param request    the request that it is for, or null where that was rejected by its head
     * @param idleMicros how long the connection may be idle afterwards, or {@link #CLOSES}
     */
    static byte[] encode(ProxyResponse response, ClientRequest request, long idleMicros) {
        boolean headOnly = request != null && request.method().equals("HEAD");
        Http1Head head;
        byte[] content;
        if (response instanceof ProxyResponse.CheckerResponse checkerResponse) {
            head = headOf(checkerResponse, headOnly);
            content = checkerResponse.body();
        } else {
            ProxyResponse.LocalResponse localResponse = (ProxyResponse.LocalResponse) response;
            head = headOf(localResponse, request);
            content = (localResponse.text() + '\n').getBytes(StandardCharsets.UTF_8);
        }
        if (!headOnly && head.status() != NO_CONTENT && head.status() != NOT_MODIFIED) {
            head.add(CONTENT_LENGTH, Integer.toString(content.length));
        }
        if (idleMicros == CLOSES) {
            head.add("Connection", "close");
        } else {
            // A second less than we wait, so that a client does not send while we close.
            head.add("Keep-Alive", "timeout=" + Math.max(1, idleMicros / MICROS_PER_SECOND - 1));
        }
        return headOnly ? head.encode() : join(head.encode(), content);
    }

    private static Http1Head headOf(ProxyResponse.CheckerResponse response, boolean headOnly) {
        Http1Head from = response.head();
        Http1Head head = Http1Head.response(from.status());
        for (int i = 0; i < from.size(); i++) {
            if (!from.isHopByHop(from.name(i))) {
                head.add(from.name(i), from.value(i));
            }
        }
        String length = from.get(CONTENT_LENGTH);
        if (headOnly && length != null) {
            head.add(CONTENT_LENGTH, length);
        }
        return head;
    }

    private static Http1Head headOf(ProxyResponse.LocalResponse response, ClientRequest request) {
        Http1Head head = Http1Head.response(response.status()).add("Content-Type", "text/plain");
        if (response.retryAfterMicros() >= 0) {
            head.add("Retry-After", formatSeconds(response.retryAfterMicros()));
        }
        if (request != null) {
            head.add(RequestAdmission.ATTEMPT_ID, request.attemptId());
        }
        return head;
    }

    /** Seconds with three decimals, rounded up. */
    private static String formatSeconds(long micros) {
        long millis = (micros + 999) / 1000;
        return millis / 1000 + "." + Long.toString(1000 + millis % 1000).substring(1);
    }

    private static byte[] join(byte[] first, byte[] second) {
        byte[] all = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, all, first.length, second.length);
        return all;
    }
}
