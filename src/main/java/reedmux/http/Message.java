package reedmux.http;

import reedmux.core.Invocation;

/** A request as it goes on to a provider: unchanged but for the headers that are ours to set. */
record Message(String method, String target, String traceId, String contentType, byte[] body)
        implements Invocation.Message {

    @Override
    public int size() {
        return body.length;
    }
}
