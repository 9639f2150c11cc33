package reedmux.proxy;

import java.util.List;

/**
 * The end of a proxy's life: from SIGTERM, at which it is no longer ready and each response becomes the last one on its
 * connection, until the process ends. Says when idle connections are closed and when the process ends, and counts what
 * was taken meanwhile. Times are microseconds of a monotonic clock. For one thread.
 */
final class GracefulShutdown {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long MICROS_PER_MILLI = 1000;
    /** Idle connections are kept this long: balancers still send new ones for about two seconds. */
    private static final long KEEP_IDLE_MICROS = 3 * MICROS_PER_SECOND;
    /** The process ends this long before the grace period does. */
    private static final long END_MARGIN_MICROS = MICROS_PER_SECOND / 3;

    private static final long NOT_BEGUN = -1;

    private final long graceMicros;
    private long begunAt = NOT_BEGUN;
    private int acceptedConnections;
    private int admittedRequests;
    private long lastAdmittedAt;

    /** A request that was dispatched and has no response. */
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

    /** Whether connections without a request are closed by now. */
    boolean closesIdleConnections(long now) {
        return hasBegun() && now - begunAt > KEEP_IDLE_MICROS;
    }

    /** Whether the process has to end now, whatever is under way. */
    boolean isOver(long now) {
        return hasBegun() && now - begunAt > graceMicros - END_MARGIN_MICROS;
    }

    /** A client's connection was accepted. */
    void onAccepted() {
        acceptedConnections += hasBegun() ? 1 : 0;
    }

    /** A request was admitted. */
    void onAdmitted(long now) {
        if (hasBegun()) {
            admittedRequests++;
            lastAdmittedAt = now;
        }
    }

    /** What operators are told at the end; {@code cut}: the requests that get no response. */
    String summary(long now, List<UnansweredRequest> cut) {
        return "ends " + (now - begunAt) / MICROS_PER_MILLI + " ms after the signal: since then " + acceptedConnections
                + " connections accepted, " + admittedRequests + " requests admitted, the last one after "
                + (lastAdmittedAt - begunAt) / MICROS_PER_MILLI + " ms; " + cut.size() + " requests without a response";
    }
}
