package reedmux.proxy.request;

import reedmux.proxy.loadbalancer.CheckerStats;

/** One sending of a request to a checker. Ended by {@link RequestTracker}, the rest is for whoever sends it. */
public final class RequestAttempt {
    private final ProxyRequest request;
    private final CheckerStats checker;
    private final long startedAt;
    private boolean ended;
    private boolean connected;
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

    /** What {@link #setConnection} was called with last, or null. */
    public Object connection() {
        return connection;
    }

    public void setConnection(Object next) {
        connection = next;
    }
}
