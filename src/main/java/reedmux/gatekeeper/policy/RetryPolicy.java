package reedmux.gatekeeper.policy;

import reedmux.gatekeeper.policy.TrafficPolicy.AttemptOutcome;
import reedmux.gatekeeper.policy.TrafficPolicy.DeduplicationScope;
import reedmux.gatekeeper.policy.TrafficPolicy.DeploymentLimits;
import reedmux.gatekeeper.policy.TrafficPolicy.Idempotency;
import reedmux.gatekeeper.policy.TrafficPolicy.ListedServer;

/** Retries: whether a request may be repeated without a second effect, attempt timeouts, and the retry budget. */
final class RetryPolicy {
    /** Retries earned by a first attempt, and the maximum saved: more win answers but add load in an outage. */
    private static final double RETRIES_PER_REQUEST = 0.15;

    private static final double MAX_RETRY_BUDGET = 15;
    /** Timeout as a multiple of the typical latency: longer waits for slow servers, shorter duplicates work. */
    private static final double TIMEOUT_MULTIPLE = 5;
    /** Minimum timeout, as a share of the latency target. */
    private static final double TIMEOUT_TARGET_SHARE = 0.5;
    /** Weight of the timeout rate in the next timeouts: frequent timeouts mean that they were too short. */
    private static final double TIMEOUT_RATE_WEIGHT = 10;
    /** Assumed latency of an attempt that timed out, as a multiple of its timeout. */
    private static final double CENSORED_MULTIPLE = 1.5;

    private final PolicyContext context;
    private final DeploymentLimits limits;
    private final LatencyEstimator latencies;
    private double budget = MAX_RETRY_BUDGET;
    private double timeoutRate;

    RetryPolicy(PolicyContext context, LatencyEstimator latencies) {
        this.context = context;
        this.latencies = latencies;
        limits = context.settings.limits();
    }

    void onFirstSent() {
        budget = Math.min(MAX_RETRY_BUDGET, budget + RETRIES_PER_REQUEST);
    }

    boolean hasBudget() {
        return budget >= 1;
    }

    void onRetrySent() {
        budget--;
    }

    private long timeLeft(ActiveRequest request) {
        return request.request.deadline() - context.now - 2 * context.settings.clockTick();
    }

    boolean hasAttemptLeft(ActiveRequest request) {
        return !request.closed
                && !request.streaming
                && request.attempts.size() < limits.maxAttempts()
                && timeLeft(request) > 0;
    }

    /** Whether all earlier attempts permit another attempt at a server. */
    boolean mayRepeatAt(ActiveRequest request, ServerState server) {
        for (PolicyAttempt attempt : request.attempts) {
            boolean mayRun = attempt.mayHaveRun || !attempt.ended;
            if (!attempt.ended && !limits.hedging() || mayRun && !isDeduplicated(request, attempt, server)) {
                return false;
            }
        }
        return true;
    }

    /** Whether repeating an attempt at a server has no second effect. */
    private boolean isDeduplicated(ActiveRequest request, PolicyAttempt attempt, ServerState server) {
        ListedServer before = attempt.server.listing;
        ListedServer next = server.listing;
        boolean inScope =
                switch (request.requestClass.deduplicationScope()) {
                    case ALL -> true;
                    case ZONE -> before.zone() == next.zone();
                    case CELL -> before.cell() == next.cell() && before.zone() == next.zone();
                };
        long repeatedAfter = context.now - attempt.sentAt + context.settings.clockTick();
        return switch (request.requestClass.idempotency()) {
            case SAFE -> true;
            case UNSAFE -> false;
            case KEYED -> inScope && repeatedAfter < request.requestClass.deduplicationWindow();
        };
    }

    /** Returns the timeout of the next attempt: all the time left, or less if another attempt could follow in time. */
    long timeout(ActiveRequest request) {
        long timeout = timeLeft(request);
        if (request.requestClass.idempotency() != Idempotency.UNSAFE
                && request.attempts.size() + 1 < limits.maxAttempts()) {
            long target = request.requestClass.latencyTarget();
            double serviceTime = latencies.serviceTime(request);
            double attemptTimeout = (1 + TIMEOUT_RATE_WEIGHT * timeoutRate)
                    * Math.max(TIMEOUT_MULTIPLE * serviceTime, TIMEOUT_TARGET_SHARE * target);
            if (context.now + attemptTimeout + serviceTime < request.arrivedAt + target) {
                timeout = Math.min(timeout, (long) attemptTimeout);
            }
        }
        return timeout;
    }

    void onAttemptEnded(ActiveRequest request, PolicyAttempt attempt, AttemptOutcome outcome, long elapsed) {
        timeoutRate = LatencyEstimator.movingAverage(timeoutRate, outcome == AttemptOutcome.TIMEOUT ? 1 : 0);
        if (outcome == AttemptOutcome.OK && !request.streaming) {
            latencies.onAnswer(request, attempt.server, elapsed);
        } else if (outcome == AttemptOutcome.TIMEOUT) {
            latencies.onServerSample(attempt.server, CENSORED_MULTIPLE * elapsed / latencies.serviceTime(request));
        }
    }

    /** Whether a rejection may promise that a repeat by the client has no second effect. */
    boolean isRepeatHarmless(ActiveRequest request) {
        return request.requestClass.idempotency() == Idempotency.SAFE
                || request.requestClass.idempotency() == Idempotency.KEYED
                        && request.requestClass.deduplicationScope() == DeduplicationScope.ALL
                || !request.mayHaveRun();
    }
}
