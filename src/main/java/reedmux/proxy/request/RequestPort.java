package reedmux.proxy.request;

/**
 * What the {@link RequestTracker} asks for. Called from within {@link RequestTracker#onEvent}; the results come back
 * as events of later calls.
 */
public interface RequestPort {

    /** Sends an attempt to its checker; its end is reported as {@link RequestEvent.AttemptFinished}. */
    void send(RequestAttempt attempt);

    /** Closes the connection of an attempt, in whatever state it is; its end is reported as of any other. */
    void cancel(RequestAttempt attempt);

    /** Sends the one response to a request. */
    void respond(ProxyRequest request, ProxyResponse response);

    /** Gives back what the request's quota was charged: the request is over and was certainly never executed. */
    void refundQuota(ProxyRequest request);

    /** Reports an event at a time, in microseconds. */
    void schedule(long at, RequestEvent event);
}
