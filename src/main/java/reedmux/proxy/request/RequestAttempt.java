package reedmux.proxy.request;

import reedmux.proxy.loadbalancer.CheckerStats;

/** One sending of a request to a checker. Ended by {@link RequestTracker}, the rest is for whoever sends it. */
public final class RequestAttempt {
    private static final long NOT_CANCELLED = -1;

    private final ProxyRequest request;
    private final CheckerStats checker;
    private final long startedAt;
    private boolean ended;
    private boolean connected;
    private boolean fullySent;
    private long cancelledAt = NOT_CANCELLED;
    /** The sender's connection for it; opaque here. */
    private Object connection;

    RequestAttempt(ProxyRequest request, CheckerStats checker, long startedAt) {
        this.request = request;
        this.checker = checker;
        this.startedAt = startedAt;
    }

    /** The request that this is an attempt of. */
    public ProxyRequest request() {
        return request;
    }

    /** The checker that the attempt was sent to. */
    public CheckerStats checker() {
        return checker;
    }

    /** When it was handed to the sender, in microseconds. */
    public long startedAt() {
        return startedAt;
    }

    /** Whether its outcome is known. */
    public boolean hasEnded() {
        return ended;
    }

    void markEnded() {
        ended = true;
    }

    /** Its connection is up, so that from now on the checker may receive bytes of it. */
    public void onConnected() {
        connected = true;
    }

    public boolean isConnected() {
        return connected;
    }

    /** The last byte of the request has been handed to the kernel. */
    public void onFullySent() {
        fullySent = true;
    }

    /** Whether it does no harm to end it: it may be repeated, or its checker has not received the whole request. */
    boolean mayBeCancelled() {
        return request.route().idempotent() || !fullySent;
    }

    /** Nobody needs its outcome any more. */
    void markCancelled(long now) {
        cancelledAt = now;
    }

    boolean isCancelled() {
        return cancelledAt != NOT_CANCELLED;
    }

    /** When it was cancelled, in microseconds. */
    long cancelledAt() {
        return cancelledAt;
    }

    /** What {@link #setConnection} was called with last, or null. */
    public Object connection() {
        return connection;
    }

    public void setConnection(Object next) {
        connection = next;
    }
}
