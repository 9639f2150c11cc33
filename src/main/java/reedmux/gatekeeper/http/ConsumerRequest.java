package reedmux.gatekeeper.http;

import reedmux.gatekeeper.reducer.Invocation;

/**
 * A consumer's request in the form in which it is forwarded to a provider; no other headers are forwarded.
 *
 * @param timeoutMicros how long the consumer waits after the last byte of the request, in microseconds
 */
public record ConsumerRequest(
        String method, String target, String traceId, String contentType, RequestBody requestBody, long timeoutMicros)
        implements Invocation.RequestMessage {

    byte[] body() {
        return requestBody.bytes();
    }

    BodyStream stream() {
        return requestBody.stream();
    }

    @Override
    public int sizeBytes() {
        return stream() == null ? body().length : BodyStream.MAX_BUFFERED_BYTES;
    }

    @Override
    public boolean isSendable() {
        return stream() == null || stream().isUnread();
    }

    @Override
    public boolean isStreaming() {
        return stream() != null;
    }
}
