package reedmux.gatekeeper.failover;

import java.util.EnumMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * All decisions of one gatekeeper about other regions, told what happens and the time of it in microseconds.
 * Not for several threads.
 */
public final class FailoverPolicy {
    private final int gatekeepers;
    private final SplittableRandom random;
    private final RemoteRequestAdmission remoteAdmission;
    private final Map<ForwardDecision.ForwardReason, Long> forwardCounts =
            new EnumMap<>(ForwardDecision.ForwardReason.class);
    private final Map<RemoteRejection.RemoteRejectionReason, Long> rejectionCounts =
            new EnumMap<>(RemoteRejection.RemoteRejectionReason.class);
    private FailoverRules rules;
    private ForwardingControl forwarding;
    private long admittedCount;

    /**
     * Decisions of one of {@code gatekeepers} gatekeepers of a region; {@code seed} is their only chance. All
     * budgets start empty, as this may be a restart.
     */
    public FailoverPolicy(FailoverRules rules, int members, long now, long seed) {
        this.rules = rules;
        this.gatekeepers = members;
        random = new SplittableRandom(seed);
        remoteAdmission = new RemoteRequestAdmission(rules, members, now);
        forwarding = createForwarding(rules, now);
    }

    private ForwardingControl createForwarding(FailoverRules told, long now) {
        return told.target() == null ? null : new ForwardingControl(told.target(), gatekeepers, now, random);
    }

    /**
     * Takes over other rules: budgets keep what is in them, up to their new bounds. Where the last resort is
     * taken away, those that are out still come back and are counted off, but none goes any more.
     */
    public void applyRules(FailoverRules told, long now) {
        remoteAdmission.applyRules(told, now);
        if (forwarding == null) {
            forwarding = createForwarding(told, now);
        } else if (told.target() != null) {
            forwarding.setTarget(told.target(), now);
        }
        rules = told;
    }

    public FailoverRules rules() {
        return rules;
    }

    /** One of our own consumers' requests has come in. */
    public void onLocalRequest() {
        if (forwarding != null) {
            forwarding.onLocalRequest();
        }
    }

    /** One of our own consumers' requests was served in time, or not; each is told once. */
    public void onLocalRequestEnded(long now, boolean good) {
        remoteAdmission.onLocalRequestEnded(now, good);
    }

    /** Whether a request that our own providers cannot take goes away. */
    public ForwardDecision decideForward(long now, OverflowRequest wish) {
        ForwardDecision decision = rules.target() == null
                ? ForwardDecision.no(ForwardDecision.ForwardReason.NONE)
                : forwarding.decide(now, wish);
        forwardCounts.merge(decision.reason(), 1L, Long::sum);
        return decision;
    }

    /**
     * A request that went away is back.
     *
     * @param took       microseconds from its start here
     * @param tookThere  microseconds that the other region says it had it, or -1
     * @param retryAfter microseconds for which it wants no more, or -1
     */
    public void onForwardEnded(
            long now, ForwardedRequest departure, ForwardResult how, long took, long tookThere, long retryAfter) {
        if (forwarding != null) {
            forwarding.onForwardEnded(now, departure.gateway(), how, took, tookThere, retryAfter);
        }
    }

    /** Takes in a visitor and returns null, or says why not. */
    public RemoteRejection admitRemote(long now, RegionPath path, double units) {
        RemoteRejection refusal = remoteAdmission.admit(now, path, units);
        if (refusal == null) {
            admittedCount++;
        } else {
            rejectionCounts.merge(refusal.reason(), 1L, Long::sum);
        }
        return refusal;
    }

    /** A visitor that was taken in has had its answer, or has gone. */
    public void onRemoteRequestEnded() {
        remoteAdmission.onRemoteRequestEnded();
    }

    /** Visitors in work. */
    public int remoteInFlight() {
        return remoteAdmission.inFlight();
    }

    /** Requests away. */
    public int forwardedInFlight() {
        return forwarding == null ? 0 : forwarding.inFlight();
    }

    /** The estimate of the link's time both ways, in microseconds; -1 without a last resort. */
    public long linkLatencyMicros() {
        return forwarding == null ? -1 : forwarding.linkLatencyMicros();
    }

    /** How many requests went away. */
    public long forwardedCount() {
        return forwardCounts.getOrDefault(ForwardDecision.ForwardReason.SENT, 0L);
    }

    /** How many visitors were taken in. */
    public long admittedCount() {
        return admittedCount;
    }

    /** All counts since the start in one line, or an empty one while nothing has happened. */
    public String summary() {
        return forwardCounts.isEmpty() && rejectionCounts.isEmpty() && admittedCount == 0
                ? ""
                : "away " + forwardCounts + ", visitors taken in " + admittedCount + ", refused " + rejectionCounts;
    }
}
