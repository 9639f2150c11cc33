package reedmux.gatekeeper.policy;

import reedmux.gatekeeper.policy.TrafficPolicy.AttemptOutcome;

/** Failure detection for servers: ejection of those that fail, and a bound on the attempts in flight at each. */
final class ServerHealth {
    /** Failures in a row that eject a server: how soon it is noticed, against ejection by chance. */
    private static final int EJECTING_FAILURES = 3;
    /** The share of failures that ejects it, for faults that leave some answers good. */
    private static final double EJECTING_ERROR_RATE = 0.4;
    /** Good answers in a row that end an ejection: how soon it is used, against one that is good by chance. */
    private static final int READMITTING_SUCCESSES = 2;
    /** First and longest ejection, and its most doublings: traffic for a broken server, against a late return. */
    private static final long FIRST_EJECTION_MICROS = 500_000;

    private static final long MAX_EJECTION_MICROS = 4_000_000;
    private static final long MAX_EJECTION_DOUBLINGS = 5;
    /** Weight of one answer in the error rate and in the usual number in flight: about the last ten. */
    private static final double SAMPLE_WEIGHT = 0.1;
    /** The first bound, over all gateways: what a full start may send before any answer, against a slow start. */
    private static final double INITIAL_LIMIT = 24;
    /** The least first bound of one gateway: fewer would keep small gateways from using their servers. */
    private static final double MIN_INITIAL_LIMIT = 2;
    /** Growth of the bound in a round of good answers while in use: finding capacity, against overshooting it. */
    private static final double LIMIT_GROWTH = 0.2;
    /** What is left of the bound after a slow answer, and after an overload rejection, which is the surer sign. */
    private static final double LIMIT_AFTER_SLOW = 0.8;

    private static final double LIMIT_AFTER_OVERLOAD = 0.6;
    /** Slow is this share of the latency target or this multiple of the class's best mean: the sooner of both. */
    static final double SLOW_TARGET_SHARE = 0.5;

    private static final double SLOW_BEST_MULTIPLE = 4;
    /** Below this share of the target nothing is slow, or the machine's own jitter would close quick servers. */
    private static final double MIN_SLOW_TARGET_SHARE = 0.05;

    private final PolicyContext context;

    ServerHealth(PolicyContext context) {
        this.context = context;
    }

    static double initialLimit(int groupSize) {
        return Math.max(MIN_INITIAL_LIMIT, INITIAL_LIMIT / groupSize);
    }

    void onSent(ServerState server) {
        server.meanInFlight += SAMPLE_WEIGHT * (server.inFlight - server.meanInFlight);
        server.addInFlight(context.now);
    }

    /** Ejects a server or readmits it, by how an attempt there ended. */
    void onOutcome(ServerState server, AttemptOutcome outcome) {
        // A rejection for overload says nothing of health where its queue may be full of our own requests; where
        // none of ours is in flight it is of no use to us now, though it answers faster than any and so looks free.
        if (outcome == AttemptOutcome.CANCELLED
                || outcome == AttemptOutcome.NOT_SENT
                || outcome == AttemptOutcome.OVERLOADED && server.inFlight > 0) {
            return;
        }
        boolean good = outcome == AttemptOutcome.OK;
        server.errorRate += SAMPLE_WEIGHT * ((good ? 0 : 1) - server.errorRate);
        server.consecutiveFailures = good ? 0 : server.consecutiveFailures + 1;
        server.consecutiveSuccesses = good ? server.consecutiveSuccesses + 1 : 0;
        if (server.isEjected() && good && server.consecutiveSuccesses >= READMITTING_SUCCESSES) {
            server.ejectedUntil = -1;
            server.errorRate = Math.min(server.errorRate, EJECTING_ERROR_RATE / 2);
            server.ejectionCount = Math.max(0, server.ejectionCount - 1);
        } else if (!good
                && (server.isEjected()
                        || server.consecutiveFailures >= EJECTING_FAILURES
                        || server.errorRate > EJECTING_ERROR_RATE)) {
            long duration = FIRST_EJECTION_MICROS << Math.min(MAX_EJECTION_DOUBLINGS, server.ejectionCount);
            server.ejectedUntil = context.now + Math.min(MAX_EJECTION_MICROS, duration);
            server.ejectionCount++;
        }
    }

    /** Answers that take longer, in microseconds, are a sign of congestion. */
    private static double slowThreshold(ActiveRequest request) {
        ClassLatency latency = request.classLatency;
        double best = latency.bestMean * Math.max(1, request.request.units() / latency.meanUnits);
        long target = request.requestClass.latencyTarget();
        return Math.min(
                SLOW_TARGET_SHARE * target, Math.max(MIN_SLOW_TARGET_SHARE * target, SLOW_BEST_MULTIPLE * best));
    }

    /**
     * Moves the bound on attempts in flight: answers that come late or not at all, from whatever cause, mean that too
     * much is in flight. It should also catch noisy neighbours and lost capacity; it could starve a server slow by
     * nature.
     */
    void adjustLimit(ActiveRequest request, PolicyAttempt attempt, AttemptOutcome outcome, long elapsed) {
        ServerState server = attempt.server;
        if (outcome == AttemptOutcome.OK && !(elapsed > slowThreshold(request))) {
            if (server.inFlight + 1 > server.concurrencyLimit / 2) {
                server.concurrencyLimit += LIMIT_GROWTH / server.concurrencyLimit;
            }
        } else if (attempt.sentAt >= server.limitReducedAt
                && outcome != AttemptOutcome.CANCELLED
                && outcome != AttemptOutcome.NOT_SENT) {
            server.limitReducedAt = context.now;
            double factor = outcome == AttemptOutcome.OVERLOADED ? LIMIT_AFTER_OVERLOAD : LIMIT_AFTER_SLOW;
            server.concurrencyLimit = Math.max(1, server.concurrencyLimit * factor);
        }
    }
}
