package reedmux.gatekeeper.policy;

import java.util.ArrayList;
import java.util.List;
import reedmux.gatekeeper.policy.TrafficPolicy.RequestClass;

/**
 * Moving averages of how long requests take: a mean for each class, and for each server its ratio to the class's mean.
 * An old figure fades, so that whoever was slow once is tried again. It estimates and decides nothing.
 */
final class LatencyEstimator {
    /** Weight of one answer: about the last ten of a server, and the last twenty of a class. */
    private static final double SERVER_SAMPLE_WEIGHT = 0.1;

    private static final double CLASS_SAMPLE_WEIGHT = 0.05;
    /** Weight of an answer that comes long after the one before: after a congestion that takes seconds. */
    private static final double STALE_SAMPLE_WEIGHT = 0.5;
    /** Time constants by which a server's ratio and a class's raised mean fade without answers. */
    private static final double SERVER_DECAY_MICROS = 8 * PolicyContext.MICROS_PER_SECOND;

    private static final double CLASS_DECAY_MICROS = 3 * PolicyContext.MICROS_PER_SECOND;
    /** A class's first mean, as a share of its latency target. */
    private static final double INITIAL_ESTIMATE_SHARE = 0.125;
    /** By how much of its distance a class's best mean follows the mean at an answer. */
    private static final double BEST_MEAN_WEIGHT = 0.0005;
    /** Bounds on what a request's units say of its time, against a usual request of its class. */
    private static final double MIN_SIZE = 0.5;

    private static final double MAX_SIZE = 3;
    /** Bounds on what one answer says of its server and of its class. */
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

    /** What a request was taken to need before any was answered, the mean over the classes, in microseconds. */
    double initialEstimate() {
        return initialEstimate;
    }

    /** How long an attempt takes in the mean, however it ends, in microseconds. */
    double meanAttemptTime() {
        return meanAttemptTime;
    }

    /** The averages of a class, after a request of so many units. */
    ClassLatency onRequest(int requestClass, double units) {
        ClassLatency latency = classes.get(requestClass);
        latency.meanUnits += CLASS_SAMPLE_WEIGHT * (units - latency.meanUnits);
        return latency;
    }

    /** A moving average over about twenty attempts, moved by one sample. */
    static double movingAverage(double mean, double sample) {
        return mean + CLASS_SAMPLE_WEIGHT * (sample - mean);
    }

    void onAttemptEnded(long elapsed) {
        meanAttemptTime = movingAverage(meanAttemptTime, elapsed);
    }

    /**
     * The usual time of this request on a usual server. Without answers it fades to the best mean: a class that is
     * rejected for its estimate would never be measured again, whatever drove the estimate up.
     */
    double serviceTime(ActiveRequest request) {
        ClassLatency latency = request.classLatency;
        double decay = Math.exp(-(context.now - latency.sampledAt) / CLASS_DECAY_MICROS);
        return (latency.bestMean + (latency.mean - latency.bestMean) * decay) * relativeSize(request);
    }

    /** What its units say of its time, against a usual request of its class. */
    static double relativeSize(ActiveRequest request) {
        return Math.max(MIN_SIZE, Math.min(MAX_SIZE, request.request.units() / request.classLatency.meanUnits));
    }

    /** The latency at a server against the usual one. */
    double latencyRatio(ServerState server) {
        return 1 + (server.latencyRatio - 1) * Math.exp(-(context.now - server.sampledAt) / SERVER_DECAY_MICROS);
    }

    /** The time that a request is expected to take there: by what is in flight there now against what usually was. */
    double expectedTime(ActiveRequest request, ServerState server) {
        double loadAdjusted =
                serviceTime(request) * latencyRatio(server) * (server.inFlight + 1) / (server.meanInFlight + 1);
        return server.inFlight == 0 ? loadAdjusted : Math.max(loadAdjusted, context.now - server.noProgressSince);
    }

    /** An answer came after so many microseconds; it tells of its server and of its class. */
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

    /** A time against the usual one was seen at a server, which says nothing of the class. */
    void onServerSample(ServerState server, double ratio) {
        double weight = weight(SERVER_SAMPLE_WEIGHT, server.sampledAt, SERVER_DECAY_MICROS);
        double bounded = Math.min(MAX_SERVER_RATIO, ratio);
        server.latencyRatio = latencyRatio(server) + weight * (bounded - latencyRatio(server));
        server.sampledAt = context.now;
    }

    /** A rare answer says more of now than what was learnt long before. */
    private double weight(double baseWeight, long sampledAt, double decayMicros) {
        return STALE_SAMPLE_WEIGHT
                + (baseWeight - STALE_SAMPLE_WEIGHT) * Math.exp(-(context.now - sampledAt) / decayMicros);
    }
}
