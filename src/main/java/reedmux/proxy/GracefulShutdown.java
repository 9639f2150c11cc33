package reedmux.proxy;

import java.util.List;

/**
 * Schedules the graceful shutdown of a proxy, from SIGTERM until the process terminates: which requests are still
 * admitted, how long connections are accepted and kept open, and when the process terminates. Its phases:
 *
 * <ul>
 *   <li><em>running</em>: before SIGTERM;
 *   <li><em>leaving</em>: the proxy reports that it is not ready, but load balancers that have not detected this yet
 *       still send clients. These clients are served, and each response is the last one on its connection;
 *   <li><em>draining</em>: the listener and idle connections are closed. A request on a connection that is still open
 *       is admitted only if its deadline is before the process terminates; otherwise it is rejected at once;
 *   <li><em>ended</em>: as soon as no connection is left, and at the latest a margin before the end of the grace
 *       period.
 * </ul>
 *
 * <p>Invariant: every request that was dispatched has a response when the process terminates. A request whose deadline
 * is later, which can only be one that was received before the load balancers can have detected the shutdown, is
 * completed shortly before.
 *
 * <p>Times are microseconds of a monotonic clock. Performs no I/O; not thread-safe.
 */
final class GracefulShutdown {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long MICROS_PER_MILLI = 1000;
    /**
     * Time after SIGTERM for which load balancers may still send clients. They check the readiness once a second and
     * need two failed checks.
     */
    private static final long BALANCER_DETECTION_MICROS = 2 * MICROS_PER_SECOND;
    /**
     * Maximum time after SIGTERM during which connections are accepted and idle connections are kept open. With a
     * higher value, connections accepted late would delay the termination.
     */
    private static final long MAX_LEAVING_MICROS = 3 * MICROS_PER_SECOND;
    /**
     * Maximum time by which the process terminates before the end of the grace period. For a short grace period a
     * fraction of the period is used.
     */
    private static final long MAX_END_MARGIN_MICROS = MICROS_PER_SECOND / 3;

    private static final int END_MARGIN_DIVISOR = 8;
    /** Time between the last responses and the termination, so that the responses reach their clients. */
    private static final long RESPONSE_FLUSH_MICROS = 100 * MICROS_PER_MILLI;

    private static final long NOT_BEGUN = -1;

    private final long graceMicros;
    private long begunAt = NOT_BEGUN;
    private int acceptedConnections;
    private int admittedRequests;
    private int rejectedRequests;
    private long lastAdmittedAt;

    /**
     * A request that was dispatched and has no response yet.
     *
     * @param receivedAt time at which its head was complete
     * @param deadline   time at which its client stops waiting
     */
    record UnansweredRequest(long receivedAt, long deadline) {}

    /**
     * Creates a shutdown in the running phase. After SIGTERM, the platform kills the process once {@code graceMicros}
     * have passed.
     */
    GracefulShutdown(long graceMicros) {
        this.graceMicros = graceMicros;
    }

    /** Begins the shutdown, on SIGTERM. */
    void begin(long now) {
        begunAt = now;
        lastAdmittedAt = now;
    }

    boolean hasBegun() {
        return begunAt != NOT_BEGUN;
    }

    /** Returns the time from which on connections are no longer accepted and idle connections are closed. */
    long drainsAt() {
        return begunAt + Math.min(MAX_LEAVING_MICROS, graceMicros / 2);
    }

    /**
     * Returns the time at which all requests without a response are completed. Requests admitted after the load
     * balancers have detected the shutdown have their deadline before this time.
     */
    long lastResponseAt() {
        return endsAt() - RESPONSE_FLUSH_MICROS;
    }

    /** Returns the time at which the process terminates, even if requests are still in progress. */
    long endsAt() {
        return begunAt + graceMicros - Math.min(MAX_END_MARGIN_MICROS, graceMicros / END_MARGIN_DIVISOR);
    }

    /** Returns whether, at the given time, a correctly working load balancer may not have detected the shutdown yet. */
    private boolean balancersMayStillRoute(long time) {
        return time - begunAt <= Math.min(BALANCER_DETECTION_MICROS, graceMicros / 3);
    }

    boolean isDraining(long now) {
        return hasBegun() && now >= drainsAt();
    }

    /**
     * Returns whether a request with the given deadline is admitted. If not, it is rejected at once, before it is
     * forwarded.
     */
    boolean admits(long now, long deadline) {
        boolean admitted = !hasBegun() || deadline <= lastResponseAt() || balancersMayStillRoute(now);
        if (hasBegun()) {
            admittedRequests += admitted ? 1 : 0;
            rejectedRequests += admitted ? 0 : 1;
            lastAdmittedAt = admitted ? now : lastAdmittedAt;
        }
        return admitted;
    }

    /** Called when the connection of a client was accepted. */
    void onAccepted() {
        acceptedConnections += hasBegun() ? 1 : 0;
    }

    /**
     * Returns a summary of the shutdown for the log; {@code unanswered} are the requests that remain without a
     * response.
     */
    String summary(long now, List<UnansweredRequest> unanswered) {
        return "ends " + (now - begunAt) / MICROS_PER_MILLI + " ms after the signal: since then " + acceptedConnections
                + " connections accepted, " + admittedRequests + " requests admitted, the last one after "
                + (lastAdmittedAt - begunAt) / MICROS_PER_MILLI + " ms, " + rejectedRequests + " rejected; "
                + unanswered.size() + " without a response";
    }
}
