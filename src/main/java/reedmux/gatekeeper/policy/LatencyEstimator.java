package reedmux.gatekeeper.policy;

import java.util.ArrayList;
import java.util.List;
import reedmux.gatekeeper.policy.TrafficPolicy.RequestClass;

/**
 * Moving averages of request latency: a mean for each class and, for each server, the ratio to the class's mean. Old
 * values decay, so that a server that was slow once is tried again. It provides estimates and makes no decisions.
 */
final class LatencyEstimator {
    /** Weight of one answer: averages over about the last ten answers of a server and the last twenty of a class. */
    private static final double SERVER_SAMPLE_WEIGHT = 0.1;

    private static final double CLASS_SAMPLE_WEIGHT = 0.05;
    /** Weight of an answer that arrives long after the previous one, such as after a congestion of several seconds. */
    private static final double STALE_SAMPLE_WEIGHT = 0.5;
    /** Time constants with which a server's ratio and a class's raised mean decay while there are no answers. */
    private static final double SERVER_DECAY_MICROS = 8 * PolicyContext.MICROS_PER_SECOND;

    private static final double CLASS_DECAY_MICROS = 3 * PolicyContext.MICROS_PER_SECOND;
    /** Initial mean of a class, as a share of its latency target. */
    private static final double INITIAL_ESTIMATE_SHARE = 0.125;
    /** Share of its distance to the mean by which a class's best mean rises with each answer. */
    private static final double BEST_MEAN_WEIGHT = 0.0005;
    /** Bounds on the relative size of a request: its units against a typical request of its class. */
    private static final double MIN_SIZE = 0.5;

    private static final double MAX_SIZE = 3;
    /** Upper bounds on the latency ratio that one answer contributes to its server and to its class. */
    private static final double MAX_SERVER_RATIO = 20;

    private static final double MAX_CLASS_RATIO = 3;

    private final PolicyContext context;
    private final List<ClassLatency> classes = new ArrayList<>();
    private final double initialEstimate;
    private double meanAttemptTime;

    LatencyEstimator(PolicyContext context) {
        this.context = context;
        for (RequestClass requestClass : context.settings.classes()) {
            classes.add(new ClassLatency(requestClass.latencyTarget() * INITIAL_ESTIMATE_SHARE));
        }
        initialEstimate =
                classes.stream().mapToDouble(latency -> latency.mean).average().orElse(0);
        meanAttemptTime = initialEstimate;
    }

    /** Returns the latency assumed before the first answer, the mean over all classes, in microseconds. */
    double initialEstimate() {
        return initialEstimate;
    }

    /** Returns the mean duration of an attempt, whatever its outcome, in microseconds. */
    double meanAttemptTime() {
        return meanAttemptTime;
    }

    /** Updates the mean units of a class with a new request, and returns the averages of the class. */
    ClassLatency onRequest(int requestClass, double units) {
        ClassLatency latency = classes.get(requestClass);
        latency.meanUnits += CLASS_SAMPLE_WEIGHT * (units - latency.meanUnits);
        return latency;
    }

    /** Adds a sample to a moving average over about twenty attempts, and returns the new average. */
    static double movingAverage(double mean, double sample) {
        return mean + CLASS_SAMPLE_WEIGHT * (sample - mean);
    }

    void onAttemptEnded(long elapsed) {
        meanAttemptTime = movingAverage(meanAttemptTime, elapsed);
    }

    /**
     * Returns the typical latency of a request at a typical server, in microseconds. Without answers it decays to the
     * best mean: a class that is rejected because of its estimate would otherwise never be measured again, whatever
     * raised the estimate.
     */
    double serviceTime(ActiveRequest request) {
        ClassLatency latency = request.classLatency;
        double decay = StrictMath.exp(-(context.now - latency.sampledAt) / CLASS_DECAY_MICROS);
        return (latency.bestMean + (latency.mean - latency.bestMean) * decay) * relativeSize(request);
    }

    /** Returns the size of a request in units, relative to a typical request of its class. */
    static double relativeSize(ActiveRequest request) {
        return Math.max(MIN_SIZE, Math.min(MAX_SIZE, request.request.units() / request.classLatency.meanUnits));
    }

    /** Returns the latency of a server relative to the typical latency, decayed since the last sample. */
    double latencyRatio(ServerState server) {
        return 1 + (server.latencyRatio - 1) * StrictMath.exp(-(context.now - server.sampledAt) / SERVER_DECAY_MICROS);
    }

    /**
     * Returns the expected latency of a request at a server, in microseconds. It scales with the attempts in flight
     * there relative to their usual number, and is at least the time without progress while any are in flight.
     */
    double expectedTime(ActiveRequest request, ServerState server) {
        double loadAdjusted =
                serviceTime(request) * latencyRatio(server) * (server.inFlight + 1) / (server.meanInFlight + 1);
        return server.inFlight == 0 ? loadAdjusted : Math.max(loadAdjusted, context.now - server.noProgressSince);
    }

    /** Records the latency of an answer, in microseconds, for its server and its class. */
    void onAnswer(ActiveRequest request, ServerState server, double elapsed) {
        double serviceTime = serviceTime(request);
        onServerSample(server, elapsed / serviceTime);
        ClassLatency latency = request.classLatency;
        double ratio = Math.min(MAX_CLASS_RATIO, elapsed / serviceTime);
        latency.mean += weight(CLASS_SAMPLE_WEIGHT, latency.sampledAt, CLASS_DECAY_MICROS) * (ratio - 1) * latency.mean;
        latency.sampledAt = context.now;
        latency.bestMean =
                Math.min(latency.mean, latency.bestMean + BEST_MEAN_WEIGHT * (latency.mean - latency.bestMean));
    }

    /** Records a latency ratio for a server only, because it says nothing about the class. */
    void onServerSample(ServerState server, double ratio) {
        double weight = weight(SERVER_SAMPLE_WEIGHT, server.sampledAt, SERVER_DECAY_MICROS);
        double bounded = Math.min(MAX_SERVER_RATIO, ratio);
        server.latencyRatio = latencyRatio(server) + weight * (bounded - latencyRatio(server));
        server.sampledAt = context.now;
    }

    /**
     * Returns the weight of a sample: the longer ago the last sample was, the less the old average says about the
     * present.
     */
    private double weight(double baseWeight, long sampledAt, double decayMicros) {
        return STALE_SAMPLE_WEIGHT
                + (baseWeight - STALE_SAMPLE_WEIGHT) * StrictMath.exp(-(context.now - sampledAt) / decayMicros);
    }
}
