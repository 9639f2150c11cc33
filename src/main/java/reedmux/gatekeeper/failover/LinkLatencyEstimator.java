package reedmux.gatekeeper.failover;

/**
 * Estimates the latency of the link to another region, both ways, from the time that a call took here minus the time
 * that it took there. Smoothed mean and deviation as in RFC 6298 for TCP; the estimate is the mean plus four
 * deviations. It rises at once with a slow sample and falls slowly: too low an estimate loses a response, too high a
 * one only takes some time from the other region.
 */
final class LinkLatencyEstimator {
    private static final double MEAN_WEIGHT = 1.0 / 8;
    private static final double DEVIATION_WEIGHT = 1.0 / 4;
    private static final int DEVIATIONS = 4;

    private final long initialEstimate;
    /** Negative before the first sample. */
    private double mean = -1;

    private double deviation;

    LinkLatencyEstimator(long initialEstimate) {
        this.initialEstimate = initialEstimate;
    }

    /** Adds a sample in microseconds; a negative one, which a clock that steps can cause, is ignored. */
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

    /** The estimated latency both ways. */
    long estimateMicros() {
        return mean < 0 ? initialEstimate : (long) (mean + DEVIATIONS * deviation);
    }
}
