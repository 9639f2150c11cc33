package reedmux.gatekeeper.policy;

import reedmux.gatekeeper.policy.TrafficPolicy.AttemptOutcome;
import reedmux.gatekeeper.policy.TrafficPolicy.RequestClass;

/** Admission control: which requests are rejected in overload, those first that are worth least for their work. */
final class AdmissionPolicy {
    /** Weight of a request in the mean value of a unit of work: about the last hundred. */
    private static final double VALUE_SAMPLE_WEIGHT = 0.01;
    /** Share of all bounds on attempts that a request may use, by its relative value: least, most and slope. */
    private static final double MIN_LIMIT_SHARE = 0.6;

    private static final double MAX_LIMIT_SHARE = 1;
    private static final double LIMIT_SHARE_SLOPE = 0.2;
    /** Share of its latency target that it may be expected to take, by its relative value: least, most and slope. */
    private static final double MIN_TARGET_SHARE = 0.3;

    private static final double MAX_TARGET_SHARE = 0.85;
    private static final double TARGET_SHARE_SLOPE = 0.35;
    /** Most that another region's request may take against the best mean: own requests begin to queue there. */
    private static final double REMOTE_BEST_MULTIPLE = 2;
    /** First sends for a good answer: load that lets half of all go bad, against hung servers that set it off. */
    private static final double SENDS_PER_GOOD_ANSWER = 2;
    /** Time constant of good answers and of what is wanted: how soon congestion is seen and its end believed. */
    private static final double THROTTLE_DECAY_MICROS = 2 * PolicyContext.MICROS_PER_SECOND;
    /** Sent on trial at least, and as a share of what is wanted: from single ones it took 9 s to recover. */
    private static final double MIN_TRIALS = 1;

    private static final double TRIAL_SHARE = 0.05;
    /** For so many first latency guesses what is in flight counts as good: a start without answers yet. */
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

    /** Whether a request is rejected: it goes only while expected in time, and with little value for its work early. */
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
     * Bounds the sum over all gateways at a server by what comes back: of what is wanted, no more goes on than a
     * multiple of the good answers, least value first, by its root so that all goes while all is well. Gateways by the
     * hundred with under one attempt in flight each have no bound on attempts that sees congestion. It should catch
     * whatever makes most answers late: a surge, lost capacity, a shared cause, mass restarts. Half may go bad, so hung
     * servers do not set it off; the trials let it end soon after good answers. It could harm a deployment whose
     * answers are mostly slow by nature against the latency target.
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
        demand *= Math.exp(-elapsed / THROTTLE_DECAY_MICROS);
        goodAnswers *= Math.exp(-elapsed / THROTTLE_DECAY_MICROS);
        recentSends *= Math.exp(-elapsed / (RECENT_SEND_LATENCIES * latencies.initialEstimate()));
    }

    void onFirstSent() {
        recentSends++;
    }

    /** A first attempt ended; an error in time speaks of the server, not of the load. */
    void onFirstAttemptEnded(ActiveRequest request, AttemptOutcome outcome, long elapsed) {
        boolean inTime = elapsed <= ServerHealth.SLOW_TARGET_SHARE * request.requestClass.latencyTarget();
        if (outcome == AttemptOutcome.ERROR || outcome == AttemptOutcome.OK && inTime) {
            decay();
            goodAnswers++;
        }
    }
}
