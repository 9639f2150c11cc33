package reedmux.proxy.request;

/** What {@link RequestTracker} is told. */
public sealed interface RequestEvent {

    /** A request may be sent on. */
    record RequestAccepted(ProxyRequest request) implements RequestEvent {}

    /** A sending has ended; {@code answer} is null where none came. */
    record AttemptFinished(RequestAttempt attempt, ExecutionStatus execution, ProxyResponse.CheckerResponse response)
            implements RequestEvent {}

    /** A sending's connection should be up by now. */
    record ConnectTimeout(RequestAttempt attempt) implements RequestEvent {}

    /** A repeatable request has waited for its answer for longer than usual. */
    record HedgeDelayElapsed(ProxyRequest request) implements RequestEvent {}

    /** A request has waited for a checker for as long as it may. */
    record QueueTimeout(ProxyRequest request) implements RequestEvent {}

    /** A sending has had no end long after its request's. */
    record AttemptTimeout(RequestAttempt attempt) implements RequestEvent {}

    /** The time that a request may take is over. */
    record DeadlineExceeded(ProxyRequest request) implements RequestEvent {}

    /** Nobody waits for the answer any more. */
    record ClientDisconnected(ProxyRequest request) implements RequestEvent {}

    /** The process ends: who still waits for a checker is told so. */
    record ProxyShutdown() implements RequestEvent {}

    /** There may be room at a checker. */
    record CapacityAvailable() implements RequestEvent {}
}
