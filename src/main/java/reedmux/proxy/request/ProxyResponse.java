package reedmux.proxy.request;

import reedmux.common.http1.Http1Head;

/** A checker's answer, whole, or one of ours. */
public sealed interface ProxyResponse {

    /** What a checker has said; {@code notRun}: that it has not run the request. */
    record CheckerResponse(Http1Head head, byte[] body, boolean notExecuted) implements ProxyResponse {}

    /** Ours; {@code retryAfter} in microseconds, below nought for none. */
    record LocalResponse(int status, String text, long retryAfterMicros) implements ProxyResponse {}
}
