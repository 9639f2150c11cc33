package reedmux.gatekeeper.failover;

import java.util.EnumMap;
import java.util.Map;
import java.util.SplittableRandom;
import reedmux.gatekeeper.failover.ForwardDecision.ForwardReason;
import reedmux.gatekeeper.failover.RemoteRejection.RemoteRejectionReason;

/**
 * Makes the failover decisions of one gatekeeper: which requests it forwards to another region, and which requests of
 * other regions it admits. It performs no I/O and reads no clock: callers pass each event together with its time in
 * microseconds. Not thread-safe; used only by the thread that owns the reducer.
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
     * Creates the policy of one gatekeeper. All budgets start empty, because a restarted gatekeeper does not know what
     * it forwarded before the restart.
     *
     * @param gatekeepers number of gatekeepers in the region
     * @param now         the current time in microseconds
     * @param seed        seed of all random choices
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
     * Replaces the rules. Budgets keep their accumulated units, up to the new bursts. If the new rules have no target,
     * no further request is forwarded, but requests in flight are still counted when they end.
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

    /** Returns the current rules. */
    public FailoverRules rules() {
        return rules;
    }

    /** Records the arrival of a request from a local consumer. */
    public void onLocalRequest() {
        if (forwarding != null) {
            forwarding.onLocalRequest();
        }
    }

    /**
     * Records the end of a request from a local consumer. Must be called once for each request, whether or not it was
     * served in time.
     */
    public void onLocalRequestEnded(long now, boolean servedInTime) {
        remoteAdmission.onLocalRequestEnded(now, servedInTime);
    }

    /** Decides whether to forward a request that the local providers cannot serve. */
    public ForwardDecision decideForward(long now, OverflowRequest request) {
        ForwardDecision decision =
                rules.target() == null ? ForwardDecision.reject(ForwardReason.NONE) : forwarding.decide(now, request);
        forwardCounts.merge(decision.reason(), 1L, Long::sum);
        return decision;
    }

    /**
     * Records the end of a forwarded request.
     *
     * @param tookMicros       time since the request was started here
     * @param remoteMicros     processing time that the other region reported, or -1 if it reported none
     * @param retryAfterMicros how long the remote gateway wants to receive no further requests, or -1
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
     * Decides whether to admit a request of another region.
     *
     * @return null if the request is admitted, in which case {@link #onRemoteRequestEnded} must be called when it ends;
     *     otherwise the rejection
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

    /** Records that an admitted remote request has been answered or cancelled. */
    public void onRemoteRequestEnded() {
        remoteAdmission.onRemoteRequestEnded();
    }

    /** Returns the number of admitted remote requests in flight. */
    public int remoteInFlight() {
        return remoteAdmission.inFlight();
    }

    /** Returns the number of forwarded requests in flight. */
    public int forwardedInFlight() {
        return forwarding == null ? 0 : forwarding.inFlight();
    }

    /** Returns the estimated round-trip latency of the link in microseconds, or -1 if there has never been a target. */
    public long linkLatencyMicros() {
        return forwarding == null ? -1 : forwarding.linkLatencyMicros();
    }

    /** Returns the number of requests forwarded since the start. */
    public long forwardedCount() {
        return forwardCounts.getOrDefault(ForwardReason.SENT, 0L);
    }

    /** Returns the number of remote requests admitted since the start. */
    public long admittedCount() {
        return admittedCount;
    }

    /** Returns all counts since the start as one log line, or an empty string if nothing has been counted. */
    public String summary() {
        return forwardCounts.isEmpty() && rejectionCounts.isEmpty() && admittedCount == 0
                ? ""
                : "away " + forwardCounts + ", visitors taken in " + admittedCount + ", refused " + rejectionCounts;
    }
}
