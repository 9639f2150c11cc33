package reedmux.proxy.request;

import reedmux.proxy.loadbalancer.CheckerStats;

/** One sending of a request to a checker. */
public final class RequestAttempt {
    private final ProxyRequest request;
    private final CheckerStats checker;
    private final long startedAt;
    private boolean ended;
    private boolean connected;
    /** What carries it; for whoever does the sending. */
    private Object connection;

    RequestAttempt(ProxyRequest exchange, CheckerStats checker, long begunAt) {
        this.request = exchange;
        this.checker = checker;
        this.startedAt = begunAt;
    }

    public ProxyRequest request() {
        return request;
    }

    public CheckerStats checker() {
        return checker;
    }

    public long startedAt() {
        return startedAt;
    }

    public boolean hasEnded() {
        return ended;
    }

    void markEnded() {
        ended = true;
    }

    /** Its connection is up, so that bytes of it may have arrived. */
    public void onConnected() {
        connected = true;
    }

    public boolean isConnected() {
        return connected;
    }

    public Object connection() {
        return connection;
    }

    public void connection(Object by) {
        connection = by;
    }
}
