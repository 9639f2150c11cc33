package reedmux.gatekeeper.failover;

import java.util.SplittableRandom;
import reedmux.gatekeeper.failover.FailoverRules.FailoverTarget;

/**
 * Whether a request that our own providers cannot take goes to the other region. Three bounds hold at once:
 * a share of the requests that we take in, a rate with a burst, and requests away at once. The first is
 * earned request by request and the second split evenly over the gatekeepers of the region, so that both
 * hold over all of them together without a word between them, whoever dies or restarts.
 */
final class ForwardingControl {
    /** Requests' worth of the share that may be saved up: a quiet hour must not buy a flood. */
    private static final double MAX_SAVED_REQUESTS = 20;

    private final int gatekeepers;
    private final TokenBucket unitBudget;
    private final TokenBucket requestBudget;
    private final RemoteGateways gateways;
    private LinkLatencyEstimator linkLatency;
    private FailoverTarget target;
    private int inFlight;

    ForwardingControl(FailoverTarget away, int members, long now, SplittableRandom random) {
        this.target = away;
        this.gatekeepers = members;
        unitBudget = new TokenBucket(away.unitsPerSecond() / members, away.burstUnits() / members, now);
        requestBudget = new TokenBucket(0, MAX_SAVED_REQUESTS, now);
        gateways = new RemoteGateways(away.gateways(), random);
        linkLatency = new LinkLatencyEstimator(away.initialLatencyMicros());
    }

    void setTarget(FailoverTarget told, long now) {
        if (!told.region().equals(target.region()) || told.initialLatencyMicros() != target.initialLatencyMicros()) {
            linkLatency = new LinkLatencyEstimator(told.initialLatencyMicros()); // another region, another way
        }
        target = told;
        unitBudget.setLimits(told.unitsPerSecond() / gatekeepers, told.burstUnits() / gatekeepers, now);
        gateways.setGateways(told.gateways());
    }

    /** One of our own consumers' requests has come in. */
    void onLocalRequest() {
        requestBudget.deposit(target.maxShare());
    }

    ForwardDecision decide(long now, OverflowRequest wish) {
        if (wish.remote()) {
            return ForwardDecision.no(ForwardDecision.ForwardReason.VISITOR);
        } else if (!wish.idempotent() && !wish.neverRan()) {
            return ForwardDecision.no(ForwardDecision.ForwardReason.MAY_HAVE_RUN);
        } else if (wish.attemptsLeft() <= 0) {
            return ForwardDecision.no(ForwardDecision.ForwardReason.NO_CALL_LEFT);
        }
        long left = wish.deadline() - now - target.marginMicros();
        long told = left - linkLatency.estimateMicros();
        if (told < target.minRemainingMicros()) {
            return ForwardDecision.no(ForwardDecision.ForwardReason.NO_TIME);
        } else if (inFlight >= target.maxConcurrent()) {
            return ForwardDecision.no(ForwardDecision.ForwardReason.AT_ONCE);
        } else if (!requestBudget.holds(1, now)) {
            return ForwardDecision.no(ForwardDecision.ForwardReason.SHARE);
        } else if (!unitBudget.holds(wish.units(), now)) {
            return ForwardDecision.no(ForwardDecision.ForwardReason.RATE);
        }
        String gateway = gateways.choose(now, wish.idempotent());
        if (gateway == null) {
            return ForwardDecision.no(ForwardDecision.ForwardReason.NO_GATEWAY);
        }
        requestBudget.take(1);
        unitBudget.take(wish.units());
        inFlight++;
        gateways.onForwarded(gateway);
        return new ForwardDecision(new ForwardedRequest(gateway, told, left), ForwardDecision.ForwardReason.SENT);
    }

    /** A request is back, or lost; {@code took} is the time here, {@code tookThere} what they told, or -1. */
    void onForwardEnded(long now, String gateway, ForwardResult how, long took, long tookThere, long retryAfter) {
        inFlight--;
        switch (how) {
            case ANSWERED -> gateways.onAnswered(gateway);
            case REJECTED -> gateways.onRejected(gateway, now, retryAfter);
            case FAILED -> gateways.onFailed(gateway, now);
            case CANCELLED -> gateways.onCancelled(gateway);
            default -> throw new IllegalStateException("no such result: " + how);
        }
        if (tookThere >= 0 && tookThere <= took) {
            linkLatency.addSample(took - tookThere);
        }
    }

    int inFlight() {
        return inFlight;
    }

    long linkLatencyMicros() {
        return linkLatency.estimateMicros();
    }
}
