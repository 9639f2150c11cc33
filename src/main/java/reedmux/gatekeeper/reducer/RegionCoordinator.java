package reedmux.gatekeeper.reducer;

import java.net.InetSocketAddress;
import java.util.Map;
import reedmux.gatekeeper.failover.FailoverPolicy;
import reedmux.gatekeeper.failover.FailoverRules;
import reedmux.gatekeeper.failover.ForwardDecision;
import reedmux.gatekeeper.failover.ForwardResult;
import reedmux.gatekeeper.failover.ForwardedRequest;
import reedmux.gatekeeper.failover.OverflowRequest;
import reedmux.gatekeeper.failover.RegionPath;
import reedmux.gatekeeper.failover.RemoteRejection;
import reedmux.gatekeeper.policy.TrafficPolicy.AttemptOutcome;

/**
 * Tells the decisions about other regions what the reducer sees, and the reducer what they decide. Without
 * settings of regions there is none. The thread that owns the reducer owns it too.
 */
public final class RegionCoordinator {
    private final FailoverPolicy regions;
    private final long[] latencyTargets;
    private Map<String, InetSocketAddress> gateways;

    /**
     * A desk.
     *
     * @param gateways the other region's gateways, by the names that the rules use
     * @param aims     the time in which a request of each class should be answered, in microseconds
     */
    public RegionCoordinator(FailoverPolicy regions, Map<String, InetSocketAddress> gateways, long[] aims) {
        this.regions = regions;
        this.gateways = Map.copyOf(gateways);
        this.latencyTargets = aims.clone();
    }

    /** The decisions; their figures may be read by the owning thread. */
    public FailoverPolicy regions() {
        return regions;
    }

    void applyRules(FailoverRules rules, Map<String, InetSocketAddress> told, long now) {
        regions.applyRules(rules, now);
        gateways = Map.copyOf(told);
    }

    InetSocketAddress address(String gateway) {
        return gateways.get(gateway);
    }

    void onAccepted(Invocation invocation) {
        if (!invocation.remote) {
            regions.onLocalRequest();
        }
    }

    /** How one of our own was served here; only the first word of each counts. */
    void recordService(Invocation invocation, long now, boolean good) {
        if (!invocation.remote && !invocation.serviceRecorded) {
            invocation.serviceRecorded = true;
            regions.onLocalRequestEnded(now, good);
        }
    }

    void onAnswered(Invocation invocation, FinalAnswer answer, long now) {
        if (answer instanceof FinalAnswer.Served) {
            recordService(
                    invocation, now, now - invocation.acceptedAt <= latencyTargets[invocation.request.requestClass()]);
        } else if (answer instanceof FinalAnswer.Failed) {
            recordService(invocation, now, false);
        }
    }

    void onClosed(Invocation invocation) {
        if (invocation.remote) {
            regions.onRemoteRequestEnded();
        }
    }

    RemoteRejection admit(Invocation invocation, RegionPath path, long now) {
        return regions.admitRemote(now, path, invocation.request.units());
    }

    ForwardedRequest forward(Invocation invocation, int callsLeft, long now) {
        ForwardDecision decision = regions.decideForward(
                now,
                new OverflowRequest(
                        invocation.request.deadline(),
                        invocation.request.units(),
                        invocation.repeatable,
                        invocation.neverRan(),
                        invocation.remote,
                        callsLeft));
        return decision.forwarded();
    }

    void onForwardEnded(UpstreamCall call, CallResult result, AttemptOutcome outcome, long now) {
        long tookThere = result instanceof CallResult.ResponseReceived answered ? answered.remoteElapsed() : -1;
        long retryAfter = result instanceof CallResult.ResponseReceived answered ? answered.retryAfter() : -1;
        ForwardResult how = call.stopReason == UpstreamCall.StopReason.CANCELLED
                ? ForwardResult.CANCELLED
                : outcome == AttemptOutcome.OVERLOADED
                        ? ForwardResult.REJECTED
                        : result instanceof CallResult.ResponseReceived ? ForwardResult.ANSWERED : ForwardResult.FAILED;
        regions.onForwardEnded(now, call.forwardedRequest, how, now - call.sentAt, tookThere, retryAfter);
    }
}
