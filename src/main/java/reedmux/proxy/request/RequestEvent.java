package reedmux.proxy.request;

/** The inputs of {@link RequestTracker}. */
public sealed interface RequestEvent {

    /** A request was admitted and its body can be sent. */
    record RequestAccepted(ProxyRequest request) implements RequestEvent {}

    /** An attempt has ended; {@code response} is null where none came. */
    record AttemptFinished(RequestAttempt attempt, ExecutionStatus execution, ProxyResponse.CheckerResponse response)
            implements RequestEvent {}

    /** An attempt's connection should be up by now. */
    record ConnectTimeout(RequestAttempt attempt) implements RequestEvent {}

    /** An idempotent request has waited for its response so long that a hedged attempt may help. */
    record HedgeDelayElapsed(ProxyRequest request) implements RequestEvent {}

    /** A request has been queued for as long as it may. */
    record QueueTimeout(ProxyRequest request) implements RequestEvent {}

    /** An attempt has not ended long after the deadline of its request. */
    record AttemptTimeout(RequestAttempt attempt) implements RequestEvent {}

    /** The time that a request may take is over. */
    record DeadlineExceeded(ProxyRequest request) implements RequestEvent {}

    /** Nobody waits for the response any more. */
    record ClientDisconnected(ProxyRequest request) implements RequestEvent {}

    /** A client's connection is closed; the requests that came over it may have had their responses. */
    record ClientConnectionClosed(Object connection) implements RequestEvent {}

    /** The process ends: requests that are still queued are rejected. */
    record ProxyShutdown() implements RequestEvent {}

    /** A checker may have become available. */
    record CapacityAvailable() implements RequestEvent {}
}
