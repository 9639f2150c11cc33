package reedmux.gatekeeper.failover;

/**
 * The time that a call spends on the link to another region, both ways: what passed here less what passed
 * there. Smoothed mean and deviation as RFC 6298 has them for TCP; the estimate is the mean and four
 * deviations. It rises at once with a slow sample and falls slowly, since too low a guess costs an answer
 * and too high a one only some time of the other region.
 */
final class LinkLatencyEstimator {
    private static final double MEAN_WEIGHT = 1.0 / 8;
    private static final double DEVIATION_WEIGHT = 1.0 / 4;
    private static final int DEVIATIONS = 4;

    private final long initialEstimate;
    private double mean = -1;
    private double deviation;

    LinkLatencyEstimator(long firstGuess) {
        this.initialEstimate = firstGuess;
    }

    /** Takes in a sample, in microseconds; one below nought, as of clocks that step, says nothing. */
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

    /** Microseconds for a call's way there and back. */
    long estimateMicros() {
        return mean < 0 ? initialEstimate : (long) (mean + DEVIATIONS * deviation);
    }
}
