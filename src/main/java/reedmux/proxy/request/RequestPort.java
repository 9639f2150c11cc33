package reedmux.proxy.request;

/**
 * The actions that {@link RequestTracker} requests from its environment. The methods are called from within {@link
 * RequestTracker#onEvent}; their results are reported as events in later calls.
 */
public interface RequestPort {

    /** Sends an attempt to its checker. Its end is reported as {@link RequestEvent.AttemptFinished}. */
    void send(RequestAttempt attempt);

    /** Closes the connection of an attempt in any state. Its end is reported like that of any other attempt. */
    void cancel(RequestAttempt attempt);

    /** Sends the response to a request. Called at most once for each request. */
    void respond(ProxyRequest request, ProxyResponse response);

    /** Refunds the quota charged for a completed request that was certainly never executed. */
    void refundQuota(ProxyRequest request);

    /** An event that is reported at a given time unless it is cancelled. */
    interface ScheduledEvent {

        /** Cancels the event and releases the request that it refers to; has no effect once it was reported. */
        void cancel();
    }

    /** Schedules an event to be reported at the given time, in microseconds. */
    ScheduledEvent schedule(long time, RequestEvent event);
}
