package reedmux.gatekeeper.http;

import reedmux.gatekeeper.reducer.Invocation;

/**
 * A request as it goes on to a provider: unchanged but for the headers that are ours to set.
 *
 * @param timeoutMicros how long its consumer waits after its last byte, in microseconds
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
