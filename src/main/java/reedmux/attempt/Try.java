package reedmux.attempt;

import reedmux.choice.Checker;

/** One sending of a request to a checker. */
public final class Try {
    private final Exchange exchange;
    private final Checker checker;
    private final long begunAt;
    private boolean over;
    private boolean up;
    /** What carries it; for whoever does the sending. */
    private Object carrier;

    Try(Exchange exchange, Checker checker, long begunAt) {
        this.exchange = exchange;
        this.checker = checker;
        this.begunAt = begunAt;
    }

    public Exchange exchange() {
        return exchange;
    }

    public Checker checker() {
        return checker;
    }

    public long begunAt() {
        return begunAt;
    }

    public boolean over() {
        return over;
    }

    void end() {
        over = true;
    }

    /** Its connection is up, so that bytes of it may have arrived. */
    public void connected() {
        up = true;
    }

    public boolean up() {
        return up;
    }

    public Object carrier() {
        return carrier;
    }

    public void carrier(Object by) {
        carrier = by;
    }
}
