package reedmux.gatekeeper.policy;

/** Moving averages of one class of requests; times in microseconds. {@link LatencyEstimator} moves them. */
final class ClassLatency {
    double mean;
    /** The least mean so far, which follows the mean slowly. */
    double bestMean;

    double meanUnits = 1;
    long sampledAt;

    ClassLatency(double initialEstimate) {
        mean = initialEstimate;
        bestMean = initialEstimate;
    }
}
