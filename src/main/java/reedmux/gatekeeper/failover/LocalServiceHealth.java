package reedmux.gatekeeper.failover;

/**
 * Tracks the recent failure rate of local consumers' requests: the fraction that the local providers did not serve in
 * time, with weights that decay exponentially over a few seconds. Requests rejected by the quota are not counted.
 */
final class LocalServiceHealth {
    /** Time constant of the decay in microseconds, after which the weight of a request has decayed to 1/e. */
    private static final double DECAY_MICROS = 2e6;
    /**
     * Successes added to those counted, so that a single failure among few requests does not produce a high failure
     * rate.
     */
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
        double factor = StrictMath.exp(-Math.max(0, now - decayedAt) / DECAY_MICROS);
        decayedAt = Math.max(decayedAt, now);
        weightedTotal *= factor;
        weightedFailures *= factor;
    }

    /** Returns the failure rate, from 0 (no request fails) to 1. */
    double failureRate(long now) {
        decay(now);
        return weightedFailures / (weightedTotal + ASSUMED_SUCCESSES);
    }
}
