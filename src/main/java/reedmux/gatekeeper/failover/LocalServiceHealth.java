package reedmux.gatekeeper.failover;

/**
 * The failure rate of our own consumers' requests over the last seconds: the fraction that our providers did not serve
 * in time, with exponentially decaying weights. Requests that the quota rejects do not count.
 */
final class LocalServiceHealth {
    /** The time constant of the decay, in microseconds: after it a request counts for 1/e. */
    private static final double DECAY_MICROS = 2e6;
    /** Successes added to those counted, so that one failure among few requests is no high rate. */
    private static final double ASSUMED_SUCCESSES = 5;

    private double weightedTotal;
    private double weightedFailures;
    private long decayedAt;

    void record(long now, boolean success) {
        decay(now);
        weightedTotal++;
        weightedFailures += success ? 0 : 1;
    }

    private void decay(long now) {
        double factor = Math.exp(-Math.max(0, now - decayedAt) / DECAY_MICROS);
        decayedAt = Math.max(decayedAt, now);
        weightedTotal *= factor;
        weightedFailures *= factor;
    }

    /** From 0, if all requests succeed, to 1. */
    double failureRate(long now) {
        decay(now);
        return weightedFailures / (weightedTotal + ASSUMED_SUCCESSES);
    }
}
