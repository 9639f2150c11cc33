package reedmux.gatekeeper.failover;

/**
 * Estimates the round-trip latency of the link to another region. A sample is the duration of a call measured here
 * minus the processing time reported by the other region. As in RFC 6298 for TCP, the estimate is a smoothed mean plus
 * four times the smoothed mean deviation, so it rises immediately after a slow sample and falls slowly. An estimate
 * that is too low loses a response, whereas one that is too high only leaves the other region somewhat less time.
 */
final class LinkLatencyEstimator {
    private static final double MEAN_WEIGHT = 1.0 / 8;
    private static final double DEVIATION_WEIGHT = 1.0 / 4;
    private static final int DEVIATIONS = 4;

    private final long initialEstimate;
    /** Smoothed mean of the samples in microseconds; negative before the first sample. */
    private double mean = -1;

    private double deviation;

    LinkLatencyEstimator(long initialEstimate) {
        this.initialEstimate = initialEstimate;
    }

    /** Adds a sample in microseconds. Ignores negative samples, which a clock step can cause. */
    void addSample(long sample) {
        if (sample < 0) {
            return;
        }
        if (mean < 0) {
            mean = sample;
            deviation = sample / 2.0;
        } else {
            deviation += DEVIATION_WEIGHT * (Math.abs(sample - mean) - deviation);
            mean += MEAN_WEIGHT * (sample - mean);
        }
    }

    /** Returns the estimated round-trip latency in microseconds. */
    long estimateMicros() {
        return mean < 0 ? initialEstimate : (long) (mean + DEVIATIONS * deviation);
    }
}
