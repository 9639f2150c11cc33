package reedmux.gatekeeper.failover;

import java.util.SplittableRandom;
import reedmux.gatekeeper.failover.FailoverRules.FailoverTarget;
import reedmux.gatekeeper.failover.ForwardDecision.ForwardReason;

/**
 * Decides whether to forward a request that the local providers cannot serve to the other region. Three limits apply: a
 * fraction of the requests received, a rate with a burst, and a maximum number of requests in flight. Each gatekeeper
 * accumulates its fraction from the requests it receives itself, and the rate is divided equally between the region's
 * gatekeepers. Both limits therefore hold for all gatekeepers together without any communication, even if one of them
 * crashes or restarts.
 */
final class ForwardingControl {
    /**
     * Maximum number of forwarded requests accumulated from the fraction, which bounds the burst after a long period
     * without forwarding.
     */
    private static final double MAX_ACCUMULATED_REQUESTS = 20;

    private final int gatekeepers;
    private final TokenBucket unitBudget;
    private final TokenBucket requestBudget;
    private final RemoteGateways gateways;
    private LinkLatencyEstimator linkLatency;
    private FailoverTarget target;
    private int inFlight;

    ForwardingControl(FailoverTarget target, int gatekeepers, long now, SplittableRandom random) {
        this.target = target;
        this.gatekeepers = gatekeepers;
        unitBudget = new TokenBucket(target.unitsPerSecond() / gatekeepers, target.burstUnits() / gatekeepers, now);
        requestBudget = new TokenBucket(0, MAX_ACCUMULATED_REQUESTS, now);
        gateways = new RemoteGateways(target.gateways(), random);
        linkLatency = new LinkLatencyEstimator(target.initialLatencyMicros());
    }

    /** Replaces the target. The latency estimate starts again if the region or its initial latency has changed. */
    void setTarget(FailoverTarget newTarget, long now) {
        if (!newTarget.region().equals(target.region())
                || newTarget.initialLatencyMicros() != target.initialLatencyMicros()) {
            linkLatency = new LinkLatencyEstimator(newTarget.initialLatencyMicros());
        }
        target = newTarget;
        unitBudget.setLimits(newTarget.unitsPerSecond() / gatekeepers, newTarget.burstUnits() / gatekeepers, now);
        gateways.setGateways(newTarget.gateways());
    }

    /** Records the arrival of a request from a local consumer. */
    void onLocalRequest() {
        requestBudget.deposit(target.maxShare());
    }

    ForwardDecision decide(long now, OverflowRequest request) {
        if (request.remote()) {
            return ForwardDecision.reject(ForwardReason.VISITOR);
        } else if (!request.idempotent() && !request.neverRan()) {
            return ForwardDecision.reject(ForwardReason.MAY_HAVE_RUN);
        } else if (request.attemptsLeft() <= 0) {
            return ForwardDecision.reject(ForwardReason.NO_CALL_LEFT);
        }
        long remaining = request.deadline() - now - target.marginMicros();
        long granted = remaining - linkLatency.estimateMicros();
        if (granted < target.minRemainingMicros()) {
            return ForwardDecision.reject(ForwardReason.NO_TIME);
        } else if (inFlight >= target.maxConcurrent()) {
            return ForwardDecision.reject(ForwardReason.AT_ONCE);
        } else if (!requestBudget.hasUnits(1, now)) {
            return ForwardDecision.reject(ForwardReason.SHARE);
        } else if (!unitBudget.hasUnits(request.units(), now)) {
            return ForwardDecision.reject(ForwardReason.RATE);
        }
        String gateway = gateways.choose(now, request.idempotent());
        if (gateway == null) {
            return ForwardDecision.reject(ForwardReason.NO_GATEWAY);
        }
        requestBudget.consume(1);
        unitBudget.consume(request.units());
        inFlight++;
        gateways.onForwarded(gateway);
        return new ForwardDecision(new ForwardedRequest(gateway, granted, remaining), ForwardReason.SENT);
    }

    /** Records the end of a forwarded request; the parameters are those of {@link FailoverPolicy#onForwardEnded}. */
    void onForwardEnded(
            long now, String gateway, ForwardResult result, long tookMicros, long remoteMicros, long retryAfterMicros) {
        inFlight--;
        switch (result) {
            case ANSWERED -> gateways.onAnswered(gateway);
            case REJECTED -> gateways.onRejected(gateway, now, retryAfterMicros);
            case FAILED -> gateways.onFailed(gateway, now);
            case CANCELLED -> gateways.onCancelled(gateway);
            default -> throw new IllegalStateException("unknown result: " + result);
        }
        if (remoteMicros >= 0 && remoteMicros <= tookMicros) {
            linkLatency.addSample(tookMicros - remoteMicros);
        }
    }

    int inFlight() {
        return inFlight;
    }

    long linkLatencyMicros() {
        return linkLatency.estimateMicros();
    }
}
