package reedmux.region;

/**
 * How our own consumers fare: the share of their requests that our providers did not serve in time, over the
 * last seconds. What the quota turns away is no part of it.
 */
final class OwnService {
    /** Microseconds after which a request counts for a third. */
    private static final double MEMORY = 2e6;
    /** Requests taken to be served well in any case, so that one bad one among few does not close us. */
    private static final double CREDIT = 5;

    private double all;
    private double bad;
    private long at;

    void note(long now, boolean good) {
        fade(now);
        all++;
        bad += good ? 0 : 1;
    }

    private void fade(long now) {
        double left = Math.exp(-Math.max(0, now - at) / MEMORY);
        at = Math.max(at, now);
        all *= left;
        bad *= left;
    }

    /** From 0, all are served in time, to 1. */
    double badShare(long now) {
        fade(now);
        return bad / (all + CREDIT);
    }
}
