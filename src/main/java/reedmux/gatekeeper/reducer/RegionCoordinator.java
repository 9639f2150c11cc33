package reedmux.gatekeeper.reducer;

import java.net.InetSocketAddress;
import java.util.Map;
import reedmux.gatekeeper.failover.FailoverPolicy;
import reedmux.gatekeeper.failover.FailoverRules;
import reedmux.gatekeeper.failover.ForwardResult;
import reedmux.gatekeeper.failover.ForwardedRequest;
import reedmux.gatekeeper.failover.OverflowRequest;
import reedmux.gatekeeper.failover.RegionPath;
import reedmux.gatekeeper.failover.RemoteRejection;
import reedmux.gatekeeper.policy.TrafficPolicy.AttemptOutcome;

/**
 * Notifies the decisions on other regions of what the reducer sees, and asks them for the reducer. Without settings of
 * regions there is none. Owned by the reducer's thread. Times are in microseconds.
 */
public final class RegionCoordinator {
    private final FailoverPolicy failover;
    private final long[] latencyTargets;
    private Map<String, InetSocketAddress> gateways;

    /**
     * A coordinator.
     *
     * @param gateways       the other region's gateways, by the names that the rules use
     * @param latencyTargets the time in which a request of each class should be answered
     */
    public RegionCoordinator(FailoverPolicy failover, Map<String, InetSocketAddress> gateways, long[] latencyTargets) {
        this.failover = failover;
        this.gateways = Map.copyOf(gateways);
        this.latencyTargets = latencyTargets.clone();
    }

    /** The decisions; their metrics may be read by the owning thread. */
    public FailoverPolicy failoverPolicy() {
        return failover;
    }

    void applyRules(FailoverRules rules, Map<String, InetSocketAddress> newGateways, long now) {
        failover.applyRules(rules, now);
        gateways = Map.copyOf(newGateways);
    }

    InetSocketAddress gatewayAddress(String gateway) {
        return gateways.get(gateway);
    }

    void onAccepted(Invocation invocation) {
        if (!invocation.remote) {
            failover.onLocalRequest();
        }
    }

    /** Notes how a request of one of our own consumers was served here; only the first report of each counts. */
    void recordLocalResult(Invocation invocation, long now, boolean good) {
        if (!invocation.remote && !invocation.localResultRecorded) {
            invocation.localResultRecorded = true;
            failover.onLocalRequestEnded(now, good);
        }
    }

    void onAnswered(Invocation invocation, FinalAnswer answer, long now) {
        if (answer instanceof FinalAnswer.Served) {
            recordLocalResult(
                    invocation, now, now - invocation.acceptedAt <= latencyTargets[invocation.request.requestClass()]);
        } else if (answer instanceof FinalAnswer.Failed) {
            recordLocalResult(invocation, now, false);
        }
    }

    void onClosed(Invocation invocation) {
        if (invocation.remote) {
            failover.onRemoteRequestEnded();
        }
    }

    RemoteRejection admit(Invocation invocation, RegionPath path, long now) {
        return failover.admitRemote(now, path, invocation.request.units());
    }

    ForwardedRequest forward(Invocation invocation, int callsLeft, long now) {
        OverflowRequest overflow = new OverflowRequest(
                invocation.request.deadline(),
                invocation.request.units(),
                invocation.idempotent,
                invocation.neverRan(),
                invocation.remote,
                callsLeft);
        return failover.decideForward(now, overflow).forwarded();
    }

    void onForwardEnded(UpstreamCall call, CallResult result, AttemptOutcome outcome, long now) {
        CallResult.ResponseReceived response = result instanceof CallResult.ResponseReceived some ? some : null;
        long remoteElapsed = response != null ? response.remoteElapsed() : -1;
        long retryAfter = response != null ? response.retryAfter() : -1;
        ForwardResult ended = response != null ? ForwardResult.ANSWERED : ForwardResult.FAILED;
        if (call.stopReason == UpstreamCall.StopReason.CANCELLED) {
            ended = ForwardResult.CANCELLED;
        } else if (outcome == AttemptOutcome.OVERLOADED) {
            ended = ForwardResult.REJECTED;
        }
        failover.onForwardEnded(now, call.forwardedRequest, ended, now - call.sentAt, remoteElapsed, retryAfter);
    }
}
