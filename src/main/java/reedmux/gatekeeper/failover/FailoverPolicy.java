package reedmux.gatekeeper.failover;

import java.util.EnumMap;
import java.util.Map;
import java.util.SplittableRandom;
import reedmux.gatekeeper.failover.ForwardDecision.ForwardReason;
import reedmux.gatekeeper.failover.RemoteRejection.RemoteRejectionReason;

/**
 * All decisions of one gatekeeper about other regions: which requests it forwards, and which remote ones it accepts.
 * Pure: it is given the events with their times in microseconds. For one thread, the one that owns the reducer.
 */
public final class FailoverPolicy {
    private final int gatekeepers;
    private final SplittableRandom random;
    private final RemoteRequestAdmission remoteAdmission;
    private final Map<ForwardReason, Long> forwardCounts = new EnumMap<>(ForwardReason.class);
    private final Map<RemoteRejectionReason, Long> rejectionCounts = new EnumMap<>(RemoteRejectionReason.class);
    private FailoverRules rules;
    private ForwardingControl forwarding;
    private long admittedCount;

    /**
     * The decisions of one of the region's gatekeepers. All budgets start empty: after a restart nothing is known of
     * what was forwarded before.
     *
     * @param gatekeepers how many the region has
     * @param seed        of all random choices
     */
    public FailoverPolicy(FailoverRules rules, int gatekeepers, long now, long seed) {
        this.rules = rules;
        this.gatekeepers = gatekeepers;
        random = new SplittableRandom(seed);
        remoteAdmission = new RemoteRequestAdmission(rules, gatekeepers, now);
        forwarding = createForwarding(rules, now);
    }

    private ForwardingControl createForwarding(FailoverRules newRules, long now) {
        return newRules.target() == null ? null : new ForwardingControl(newRules.target(), gatekeepers, now, random);
    }

    /**
     * Replaces the rules. Budgets keep what has accumulated, up to the new bursts. If there is no target any more,
     * nothing is forwarded, but requests in flight are still counted when they end.
     */
    public void applyRules(FailoverRules newRules, long now) {
        remoteAdmission.applyRules(newRules, now);
        if (forwarding == null) {
            forwarding = createForwarding(newRules, now);
        } else if (newRules.target() != null) {
            forwarding.setTarget(newRules.target(), now);
        }
        rules = newRules;
    }

    /** The rules that hold now. */
    public FailoverRules rules() {
        return rules;
    }

    /** A request of our own consumers has come in. */
    public void onLocalRequest() {
        if (forwarding != null) {
            forwarding.onLocalRequest();
        }
    }

    /** A request of our own consumers has ended; to be called once for each, whether it was served in time or not. */
    public void onLocalRequestEnded(long now, boolean servedInTime) {
        remoteAdmission.onLocalRequestEnded(now, servedInTime);
    }

    /** Decides whether a request that our own providers cannot serve is forwarded. */
    public ForwardDecision decideForward(long now, OverflowRequest request) {
        ForwardDecision decision =
                rules.target() == null ? ForwardDecision.reject(ForwardReason.NONE) : forwarding.decide(now, request);
        forwardCounts.merge(decision.reason(), 1L, Long::sum);
        return decision;
    }

    /**
     * A forwarded request has ended.
     *
     * @param tookMicros       from its start here
     * @param remoteMicros     how long the other region says it had it, or -1
     * @param retryAfterMicros for how long the gateway wants no further request, or -1
     */
    public void onForwardEnded(
            long now,
            ForwardedRequest request,
            ForwardResult result,
            long tookMicros,
            long remoteMicros,
            long retryAfterMicros) {
        if (forwarding != null) {
            forwarding.onForwardEnded(now, request.gateway(), result, tookMicros, remoteMicros, retryAfterMicros);
        }
    }

    /**
     * Admits a request of another region.
     *
     * @return null if it is admitted; {@link #onRemoteRequestEnded} has to follow then
     */
    public RemoteRejection admitRemote(long now, RegionPath path, double units) {
        RemoteRejection rejection = remoteAdmission.admit(now, path, units);
        if (rejection == null) {
            admittedCount++;
        } else {
            rejectionCounts.merge(rejection.reason(), 1L, Long::sum);
        }
        return rejection;
    }

    /** A request that was admitted has been answered or cancelled. */
    public void onRemoteRequestEnded() {
        remoteAdmission.onRemoteRequestEnded();
    }

    /** Remote requests that are in flight here. */
    public int remoteInFlight() {
        return remoteAdmission.inFlight();
    }

    /** Requests of ours that are in flight in the other region. */
    public int forwardedInFlight() {
        return forwarding == null ? 0 : forwarding.inFlight();
    }

    /** The estimated latency of the link, both ways, in microseconds; -1 if there has never been a target. */
    public long linkLatencyMicros() {
        return forwarding == null ? -1 : forwarding.linkLatencyMicros();
    }

    /** How many requests have been forwarded. */
    public long forwardedCount() {
        return forwardCounts.getOrDefault(ForwardReason.SENT, 0L);
    }

    /** How many remote requests have been admitted. */
    public long admittedCount() {
        return admittedCount;
    }

    /** All counts since the start in one line for the log; empty while there is nothing to count. */
    public String summary() {
        return forwardCounts.isEmpty() && rejectionCounts.isEmpty() && admittedCount == 0
                ? ""
                : "away " + forwardCounts + ", visitors taken in " + admittedCount + ", refused " + rejectionCounts;
    }
}
