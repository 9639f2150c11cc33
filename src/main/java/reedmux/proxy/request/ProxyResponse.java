package reedmux.proxy.request;

import reedmux.common.http1.BodyBuffer;
import reedmux.common.http1.Http1Head;

/** The response to a client's request. */
public sealed interface ProxyResponse {

    /**
     * A checker's complete response.
     *
     * @param notExecuted whether the checker reported that it has not executed the request
     */
    record CheckerResponse(Http1Head head, BodyBuffer body, boolean notExecuted) implements ProxyResponse {}

    /**
     * A response that the proxy itself generates.
     *
     * @param retryAfterMicros time until the client should retry, or negative for a response without Retry-After
     */
    record LocalResponse(int status, String text, long retryAfterMicros) implements ProxyResponse {}
}
