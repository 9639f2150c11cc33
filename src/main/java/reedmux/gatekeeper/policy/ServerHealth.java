package reedmux.gatekeeper.policy;

import reedmux.gatekeeper.policy.TrafficPolicy.AttemptOutcome;

/** Failure detection for servers: ejects failing servers, and limits the attempts in flight at each server. */
final class ServerHealth {
    /** Consecutive failures that eject a server: fewer detect faults sooner, more avoid ejections by chance. */
    private static final int EJECTING_FAILURES = 3;
    /** Error rate that ejects a server, for faults that leave some answers good. */
    private static final double EJECTING_ERROR_RATE = 0.4;
    /** Consecutive good answers that end an ejection: fewer readmit sooner, more exclude chance successes. */
    private static final int READMITTING_SUCCESSES = 2;
    /** Initial and maximum ejection, and maximum doublings: shorter sends to broken servers, longer returns late. */
    private static final long FIRST_EJECTION_MICROS = 500_000;

    private static final long MAX_EJECTION_MICROS = 4_000_000;
    private static final long MAX_EJECTION_DOUBLINGS = 5;
    /** Weight of one answer in the error rate and in the mean number in flight: averages about the last ten. */
    private static final double SAMPLE_WEIGHT = 0.1;
    /** Initial limit over all gateways: higher allows more load before any answer, lower makes for a slow start. */
    private static final double INITIAL_LIMIT = 24;
    /** Minimum initial limit of one gateway: less would keep small gateways from using their servers. */
    private static final double MIN_INITIAL_LIMIT = 2;
    /** Growth of the limit per round of good answers while in use: higher finds capacity sooner but overshoots it. */
    private static final double LIMIT_GROWTH = 0.2;
    /** Factor on the limit after a slow answer, and after an overload rejection, which is the more reliable sign. */
    private static final double LIMIT_AFTER_SLOW = 0.8;

    private static final double LIMIT_AFTER_OVERLOAD = 0.6;
    /** Slow is this share of the latency target or this multiple of the class's best mean, whichever is less. */
    static final double SLOW_TARGET_SHARE = 0.5;

    private static final double SLOW_BEST_MULTIPLE = 4;
    /** Minimum slow threshold, as a share of the target: below it, jitter would reduce limits of fast servers. */
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

    /** Ejects or readmits a server, depending on how an attempt there ended. */
    void onOutcome(ServerState server, AttemptOutcome outcome) {
        // An overload rejection says nothing about health if the queue may be full of our own requests. Without any
        // in flight, the server is useless to us now, although its fast answers make it look idle.
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

    /** Returns the latency, in microseconds, above which an answer is a sign of congestion. */
    private static double slowThreshold(ActiveRequest request) {
        ClassLatency latency = request.classLatency;
        double best = latency.bestMean * Math.max(1, request.request.units() / latency.meanUnits);
        long target = request.requestClass.latencyTarget();
        return Math.min(
                SLOW_TARGET_SHARE * target, Math.max(MIN_SLOW_TARGET_SHARE * target, SLOW_BEST_MULTIPLE * best));
    }

    /**
     * Adapts the limit on attempts in flight: late or missing answers, whatever the cause, mean that too many are in
     * flight. It also covers noisy neighbours and lost capacity, but could starve a server that is inherently slow.
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
