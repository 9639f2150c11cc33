package reedmux.proxy;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import reedmux.common.http1.BodyBuffer;
import reedmux.common.http1.Http1Head;
import reedmux.proxy.request.ProxyResponse;

/** Encodes responses to clients as HTTP/1.1 messages. */
final class ClientResponseEncoder {
    /** Value in place of an idle timeout if the connection is closed after the response. */
    static final long CLOSE_CONNECTION = -1;

    private static final long MICROS_PER_SECOND = 1_000_000;
    /** Maximum size of a body that is copied behind its head. */
    private static final int MAX_COPIED_BODY_BYTES = 16 * 1024;

    private static final int STATUS_NO_CONTENT = 204;
    private static final int STATUS_NOT_MODIFIED = 304;
    private static final String CONTENT_LENGTH = "Content-Length";

    private ClientResponseEncoder() {}

    /**
     * Encodes a response as consecutive parts of one message.
     *
     * @param request           request that is answered, or null if it was rejected by its head
     * @param method            method of the request, or null if its head could not be read
     * @param idleTimeoutMicros time for which the connection may be idle after the response, or {@link
     *     #CLOSE_CONNECTION}
     */
    static List<byte[]> encode(ProxyResponse response, ClientRequest request, String method, long idleTimeoutMicros) {
        boolean headOnly = "HEAD".equals(method);
        Http1Head head;
        BodyBuffer body;
        if (response instanceof ProxyResponse.CheckerResponse checkerResponse) {
            head = buildHead(checkerResponse, headOnly);
            body = checkerResponse.body();
        } else {
            ProxyResponse.LocalResponse localResponse = (ProxyResponse.LocalResponse) response;
            head = buildHead(localResponse, request);
            body = new BodyBuffer();
            body.append((localResponse.text() + '\n').getBytes(StandardCharsets.UTF_8));
        }
        if (!headOnly && head.status() != STATUS_NO_CONTENT && head.status() != STATUS_NOT_MODIFIED) {
            head.add(CONTENT_LENGTH, Long.toString(body.length()));
        }
        if (idleTimeoutMicros == CLOSE_CONNECTION) {
            head.add("Connection", "close");
        } else {
            // One second less than the real timeout, so that a client does not send while the proxy closes the
            // connection.
            head.add("Keep-Alive", "timeout=" + Math.max(1, idleTimeoutMicros / MICROS_PER_SECOND - 1));
        }
        return headOnly ? List.of(head.encode()) : concatenate(head.encode(), body);
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

    /** Joins a head and a small body, so that they are sent together; the blocks of a large body are not copied. */
    private static List<byte[]> concatenate(byte[] head, BodyBuffer body) {
        if (body.length() <= MAX_COPIED_BODY_BYTES) {
            byte[] content = body.toByteArray();
            byte[] joined = Arrays.copyOf(head, head.length + content.length);
            System.arraycopy(content, 0, joined, head.length, content.length);
            return List.of(joined);
        }
        List<byte[]> parts = new ArrayList<>();
        parts.add(head);
        parts.addAll(body.takeBlocks());
        return parts;
    }
}
