package reedmux.gatekeeper.failover;

/**
 * How our own consumers fare: the share of their requests that our providers did not serve in time, over the
 * last seconds. What the quota turns away is no part of it.
 */
final class LocalServiceHealth {
    /** Microseconds after which a request counts for a third. */
    private static final double DECAY_MICROS = 2e6;
    /** Requests taken to be served well in any case, so that one bad one among few does not close us. */
    private static final double ASSUMED_SUCCESSES = 5;

    private double weightedTotal;
    private double weightedFailures;
    private long decayedAt;

    void record(long now, boolean good) {
        decay(now);
        weightedTotal++;
        weightedFailures += good ? 0 : 1;
    }

    private void decay(long now) {
        double left = Math.exp(-Math.max(0, now - decayedAt) / DECAY_MICROS);
        decayedAt = Math.max(decayedAt, now);
        weightedTotal *= left;
        weightedFailures *= left;
    }

    /** From 0, all are served in time, to 1. */
    double failureRate(long now) {
        decay(now);
        return weightedFailures / (weightedTotal + ASSUMED_SUCCESSES);
    }
}
