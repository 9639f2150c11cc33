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
 * Connects the reducer to the failover policy: reports the requests that the reducer processes, and requests decisions
 * on forwarding to and admission from other regions. There is no coordinator if no regions are configured. Owned by the
 * reducer's thread. Times are in microseconds.
 */
public final class RegionCoordinator {
    private final FailoverPolicy failover;
    private final long[] latencyTargets;
    private Map<String, InetSocketAddress> gateways;

    /**
     * Creates a coordinator.
     *
     * @param gateways       the addresses of the other region's gateways, by the names used in the failover rules
     * @param latencyTargets the latency target of each request class
     */
    public RegionCoordinator(FailoverPolicy failover, Map<String, InetSocketAddress> gateways, long[] latencyTargets) {
        this.failover = failover;
        this.gateways = Map.copyOf(gateways);
        this.latencyTargets = latencyTargets.clone();
    }

    /** Returns the failover policy. Its metrics may be read only by the owning thread. */
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

    /**
     * Records how this region served a request of one of its own consumers. Only the first record of each request
     * counts.
     */
    void recordLocalResult(Invocation invocation, long now, boolean servedInTime) {
        if (!invocation.remote && !invocation.localResultRecorded) {
            invocation.localResultRecorded = true;
            failover.onLocalRequestEnded(now, servedInTime);
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
        CallResult.ResponseReceived response = result instanceof CallResult.ResponseReceived received ? received : null;
        long remoteElapsed = response != null ? response.remoteElapsed() : -1;
        long retryAfter = response != null ? response.retryAfter() : -1;
        ForwardResult forwardResult = response != null ? ForwardResult.ANSWERED : ForwardResult.FAILED;
        if (call.stopReason == UpstreamCall.StopReason.CANCELLED) {
            forwardResult = ForwardResult.CANCELLED;
        } else if (outcome == AttemptOutcome.OVERLOADED) {
            forwardResult = ForwardResult.REJECTED;
        }
        failover.onForwardEnded(
                now, call.forwardedRequest, forwardResult, now - call.sentAt, remoteElapsed, retryAfter);
    }
}
