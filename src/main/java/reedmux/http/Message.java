package reedmux.http;

import reedmux.core.Invocation;

/**
 * A request as it goes on to a provider: unchanged but for the headers that are ours to set.
 *
 * @param patience how long its consumer waits after its last byte, in microseconds
 */
record Message(String method, String target, String traceId, String contentType, Content content, long patience)
        implements Invocation.Message {

    byte[] body() {
        return content.bytes();
    }

    Flow flow() {
        return content.flow();
    }

    @Override
    public int size() {
        return flow() == null ? body().length : Flow.AHEAD;
    }

    @Override
    public boolean sendable() {
        return flow() == null || flow().untouched();
    }

    @Override
    public boolean flows() {
        return flow() != null;
    }
}
