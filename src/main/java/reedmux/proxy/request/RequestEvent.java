package reedmux.proxy.request;

/** An input event of {@link RequestTracker}. */
public sealed interface RequestEvent {

    /** A request was admitted, and sending its body can start. */
    record RequestAccepted(ProxyRequest request) implements RequestEvent {}

    /** An attempt has ended; {@code response} is null if none was received. */
    record AttemptFinished(RequestAttempt attempt, ExecutionStatus execution, ProxyResponse.CheckerResponse response)
            implements RequestEvent {}

    /** The time limit for establishing the connection of an attempt has expired. */
    record ConnectTimeout(RequestAttempt attempt) implements RequestEvent {}

    /** An idempotent request has been in flight long enough for a hedged attempt. */
    record HedgeDelayElapsed(ProxyRequest request) implements RequestEvent {}

    /** The maximum queue time of a request has expired. */
    record QueueTimeout(ProxyRequest request) implements RequestEvent {}

    /** The grace period of an attempt after the deadline of its request has expired. */
    record AttemptTimeout(RequestAttempt attempt) implements RequestEvent {}

    /** The deadline of a request has been reached. */
    record DeadlineExceeded(ProxyRequest request) implements RequestEvent {}

    /** The client of a request has disconnected, so that its response is no longer needed. */
    record ClientDisconnected(ProxyRequest request) implements RequestEvent {}

    /** A client connection was closed; its requests may already have their responses. */
    record ClientConnectionClosed(Object connection) implements RequestEvent {}

    /** The process is about to end: all requests without a response are completed. */
    record ProxyShutdown() implements RequestEvent {}

    /** A checker may have become available for queued requests. */
    record CapacityAvailable() implements RequestEvent {}
}
