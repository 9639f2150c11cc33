package reedmux.gatekeeper.policy;

/** Moving averages of one request class; times are in microseconds. Updated by {@link LatencyEstimator}. */
final class ClassLatency {
    double mean;
    /** The lowest mean so far, which rises slowly towards the current mean. */
    double bestMean;

    double meanUnits = 1;
    long sampledAt;

    ClassLatency(double initialEstimate) {
        mean = initialEstimate;
        bestMean = initialEstimate;
    }
}
