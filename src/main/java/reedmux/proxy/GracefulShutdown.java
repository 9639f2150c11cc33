package reedmux.proxy;

import java.util.List;

/**
 * The end of a proxy's life, from SIGTERM until the process ends: which requests are still admitted, until when
 * connections are accepted and kept, and when the process ends. Its phases:
 *
 * <ul>
 *   <li><em>running</em>: before SIGTERM;
 *   <li><em>leaving</em>: the proxy is not ready, but balancers that have not noticed yet still send clients. They are
 *       served, each response being the last one on its connection;
 *   <li><em>draining</em>: the listener and idle connections are closed. What comes over a connection that is still
 *       open is admitted only if its deadline lies before the end of the process, and else rejected at once;
 *   <li><em>ended</em>: once no connection is left, and at the latest a margin before the grace period is over.
 * </ul>
 *
 * <p>Invariant: a request that is without a response when the process ends was received before the balancers can have
 * noticed, and its deadline lies behind that end. All others have their response, if only at their deadline.
 *
 * <p>Times are microseconds of a monotonic clock. No I/O; for one thread.
 */
final class GracefulShutdown {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long MICROS_PER_MILLI = 1000;
    /** How long balancers send clients after SIGTERM: they ask once a second and need two answers. */
    private static final long BALANCER_DETECTION_MICROS = 2 * MICROS_PER_SECOND;
    /** Connections are accepted, and idle ones kept, this long; later ones would hold up the end. */
    private static final long MAX_LEAVING_MICROS = 3 * MICROS_PER_SECOND;
    /** The process ends this long before the grace period does, or a fraction of it where that is short. */
    private static final long MAX_END_MARGIN_MICROS = MICROS_PER_SECOND / 3;

    private static final int END_MARGIN_DIVISOR = 8;
    /** Between the last responses and the end, so that they get to their clients. */
    private static final long RESPONSE_FLUSH_MICROS = 100 * MICROS_PER_MILLI;

    private static final long NOT_BEGUN = -1;

    private final long graceMicros;
    private long begunAt = NOT_BEGUN;
    private int acceptedConnections;
    private int admittedRequests;
    private int rejectedRequests;
    private long lastAdmittedAt;

    /**
     * A request that was dispatched and has no response.
     *
     * @param receivedAt when its head was complete
     * @param deadline   when its client stops waiting
     */
    record UnansweredRequest(long receivedAt, long deadline) {}

    /** {@code graceMicros}: after SIGTERM the platform kills the process once this time is over. */
    GracefulShutdown(long graceMicros) {
        this.graceMicros = graceMicros;
    }

    /** SIGTERM has come. */
    void begin(long now) {
        begunAt = now;
        lastAdmittedAt = now;
    }

    boolean hasBegun() {
        return begunAt != NOT_BEGUN;
    }

    /** From when on connections are accepted no more, and those without a request are closed. */
    long drainsAt() {
        return begunAt + Math.min(MAX_LEAVING_MICROS, graceMicros / 2);
    }

    /** By when every request that is admitted has its response; what is not under way by then is rejected. */
    long lastResponseAt() {
        return endsAt() - RESPONSE_FLUSH_MICROS;
    }

    /** When the process ends, whatever is under way. */
    long endsAt() {
        return begunAt + graceMicros - Math.min(MAX_END_MARGIN_MICROS, graceMicros / END_MARGIN_DIVISOR);
    }

    /** Whether a balancer that works as it should may not have noticed at that time. */
    private boolean balancersMayStillRoute(long time) {
        return time - begunAt <= Math.min(BALANCER_DETECTION_MICROS, graceMicros / 3);
    }

    boolean isDraining(long now) {
        return hasBegun() && now >= drainsAt();
    }

    /** Whether a request with that deadline is admitted; otherwise it is rejected at once, before it is sent on. */
    boolean admits(long now, long deadline) {
        boolean admitted = !hasBegun() || deadline <= lastResponseAt() || balancersMayStillRoute(now);
        if (hasBegun()) {
            admittedRequests += admitted ? 1 : 0;
            rejectedRequests += admitted ? 0 : 1;
            lastAdmittedAt = admitted ? now : lastAdmittedAt;
        }
        return admitted;
    }

    /** A client's connection was accepted. */
    void onAccepted() {
        acceptedConnections += hasBegun() ? 1 : 0;
    }

    /** Whether the class's invariant allows that these requests get no response. */
    boolean mayLeaveUnanswered(List<UnansweredRequest> requests) {
        for (UnansweredRequest request : requests) {
            if (request.deadline <= lastResponseAt() || !balancersMayStillRoute(request.receivedAt)) {
                return false;
            }
        }
        return true;
    }

    /** What operators are told at the end; {@code cut}: the requests that get no response. */
    String summary(long now, List<UnansweredRequest> unanswered) {
        return "ends " + (now - begunAt) / MICROS_PER_MILLI + " ms after the signal: since then " + acceptedConnections
                + " connections accepted, " + admittedRequests + " requests admitted, the last one after "
                + (lastAdmittedAt - begunAt) / MICROS_PER_MILLI + " ms, " + rejectedRequests + " rejected; "
                + unanswered.size() + " without a response";
    }
}
