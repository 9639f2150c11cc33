package reedmux.proxy.request;

import reedmux.common.http1.Http1Head;

/** The response to a client's request. */
public sealed interface ProxyResponse {

    /** A checker's complete response; {@code notExecuted}: it says that it has not executed the request. */
    record CheckerResponse(Http1Head head, byte[] body, boolean notExecuted) implements ProxyResponse {}

    /** The proxy's own response; {@code retryAfterMicros} is below zero where it has no Retry-After. */
    record LocalResponse(int status, String text, long retryAfterMicros) implements ProxyResponse {}
}
