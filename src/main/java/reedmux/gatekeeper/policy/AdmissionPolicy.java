package reedmux.gatekeeper.policy;

import reedmux.gatekeeper.policy.TrafficPolicy.AttemptOutcome;
import reedmux.gatekeeper.policy.TrafficPolicy.RequestClass;

/** Admission control: rejects requests in overload, starting with those of the least value per unit of work. */
final class AdmissionPolicy {
    /** Weight of one request in the mean value per unit of work, which averages about the last hundred requests. */
    private static final double VALUE_SAMPLE_WEIGHT = 0.01;
    /** Share of the total concurrency limit that a request may use, by relative value: minimum, maximum and slope. */
    private static final double MIN_LIMIT_SHARE = 0.6;

    private static final double MAX_LIMIT_SHARE = 1;
    private static final double LIMIT_SHARE_SLOPE = 0.2;
    /** Share of the latency target that the expected time may take, by relative value: minimum, maximum and slope. */
    private static final double MIN_TARGET_SHARE = 0.3;

    private static final double MAX_TARGET_SHARE = 0.85;
    private static final double TARGET_SHARE_SLOPE = 0.35;
    /** Limit on a remote request's time as a multiple of the best mean, where local requests start to queue. */
    private static final double REMOTE_BEST_MULTIPLE = 2;
    /** First attempts allowed per good answer: higher admits more failing load, lower throttles for hung servers. */
    private static final double SENDS_PER_GOOD_ANSWER = 2;
    /** Decay time constant of demand and good answers: how soon congestion is detected and its end is recognised. */
    private static final double THROTTLE_DECAY_MICROS = 2 * PolicyContext.MICROS_PER_SECOND;
    /** Trial requests always admitted: a minimum, and a share of demand. With single trials, recovery took 9 s. */
    private static final double MIN_TRIALS = 1;

    private static final double TRIAL_SHARE = 0.05;
    /** Decay time of recent sends, in initial estimates: they count as good while a start has no answers yet. */
    private static final double RECENT_SEND_LATENCIES = 2;

    private final PolicyContext context;
    private final LatencyEstimator latencies;
    private final ServerPool pool;
    private double meanValue;
    private double demand;
    private double goodAnswers;
    private double recentSends;
    private long decayedAt;

    AdmissionPolicy(PolicyContext context, LatencyEstimator latencies, ServerPool pool) {
        this.context = context;
        this.latencies = latencies;
        this.pool = pool;
    }

    /** Rejects a request that is not expected to finish in time; low value per unit of work is rejected earlier. */
    boolean rejects(ActiveRequest request, ServerState server, boolean remote) {
        RequestClass requestClass = request.requestClass;
        double value = requestClass.value() * request.account.plan.price() * request.request.units();
        double density = value / latencies.serviceTime(request);
        meanValue = meanValue == 0 ? density : meanValue + VALUE_SAMPLE_WEIGHT * (density - meanValue);
        double targetShare = Math.min(MAX_TARGET_SHARE, MIN_TARGET_SHARE + TARGET_SHARE_SLOPE * density / meanValue);
        double limitShare = Math.min(MAX_LIMIT_SHARE, MIN_LIMIT_SHARE + LIMIT_SHARE_SLOPE * density / meanValue);
        double maxTime = targetShare * requestClass.latencyTarget();
        if (remote) {
            double best = request.classLatency.bestMean;
            maxTime = Math.min(maxTime, REMOTE_BEST_MULTIPLE * best * LatencyEstimator.relativeSize(request));
        }
        return isThrottled(density / meanValue)
                || pool.inFlight() > limitShare * pool.concurrencyLimit()
                || latencies.expectedTime(request, server) > maxTime;
    }

    /**
     * Throttles first attempts to a multiple of the good answers, which bounds the total load of all gateways on a
     * server. The admission probability grows with the root of the relative value: low values are rejected first, and
     * all pass while answers are good. With hundreds of gateways that have less than one attempt in flight each, no
     * concurrency limit detects congestion. The throttle reacts to anything that makes most answers late: a surge, lost
     * capacity, a shared cause, mass restarts. Half of the answers may be bad, so hung servers do not trigger it;
     * trials end it soon after good answers. It could harm a deployment whose answers are inherently slow against the
     * latency target.
     */
    private boolean isThrottled(double relativeValue) {
        decay();
        double trials = Math.max(MIN_TRIALS, TRIAL_SHARE * demand);
        double probability = SENDS_PER_GOOD_ANSWER * (goodAnswers + recentSends + trials) / (demand + MIN_TRIALS);
        demand++;
        return context.random.nextDouble() >= probability * Math.sqrt(relativeValue);
    }

    private void decay() {
        double elapsed = context.now - decayedAt;
        decayedAt = context.now;
        demand *= StrictMath.exp(-elapsed / THROTTLE_DECAY_MICROS);
        goodAnswers *= StrictMath.exp(-elapsed / THROTTLE_DECAY_MICROS);
        recentSends *= StrictMath.exp(-elapsed / (RECENT_SEND_LATENCIES * latencies.initialEstimate()));
    }

    void onFirstSent() {
        recentSends++;
    }

    /** Counts good answers to first attempts. An error counts as well: it indicates a faulty server, not overload. */
    void onFirstAttemptEnded(ActiveRequest request, AttemptOutcome outcome, long elapsed) {
        boolean inTime = elapsed <= ServerHealth.SLOW_TARGET_SHARE * request.requestClass.latencyTarget();
        if (outcome == AttemptOutcome.ERROR || outcome == AttemptOutcome.OK && inTime) {
            decay();
            goodAnswers++;
        }
    }
}
