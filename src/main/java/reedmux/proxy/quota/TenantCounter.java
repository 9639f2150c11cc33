package reedmux.proxy.quota;

import reedmux.common.quota.RunAheadLimit;

/**
 * One tenant's counters at this proxy: the count and the links of the view in force, and the part of the quota that is
 * set aside for members that cannot be reached. All amounts are requests.
 */
final class TenantCounter extends LinkTotals {
    private static final double MICROS_PER_SECOND = 1e6;

    /** What members that cannot be reached may use, in what the quota's rate allows for them. */
    private static final double SURGE_FACTOR = 2;
    /**
     * The part of the reserve that holds at once when members become unreachable; the rest follows with the time that
     * they have to use it. Higher refuses more where a member is only restarted, lower has both sides use a burst.
     */
    private static final double FIRST_RESERVED_FRACTION = 0.5;
    /** As much may be used twice at a change of view: the bound on a window is wider than the burst by more. */
    private static final double TOLERATED_BURST_FRACTION = 0.15;

    private double requestsPerSecond;
    private double burst;
    private long drainedAt;
    private double admittedAtStart;
    /** The part of the burst that members use which are unreachable in this view. */
    private double reservedForUnreachable;
    /** The same for earlier views: such members never report what they used, so the reserve is paid off by draining. */
    private double reservedInFormerViews;
    /** Units not drained here because unreachable members of this view may drain them on their side. */
    private double deferredDrain;

    private final RunAheadLimit runAhead;

    /** {@code knownSince}: from when on this process knows what all members admit. */
    TenantCounter(long now, long knownSince) {
        drainedAt = now;
        runAhead = new RunAheadLimit(now, knownSince);
    }

    /** Counts units that were admitted here; negative where they are taken back. */
    void countAdmitted(double units, long now) {
        runAhead.onAdmitted(units, now);
        add(units, LOCAL);
    }

    /** What may be admitted before the other members know of it. */
    RunAheadLimit runAhead() {
        return runAhead;
    }

    void setLimits(double nextRequestsPerSecond, double nextBurst) {
        requestsPerSecond = nextRequestsPerSecond;
        burst = nextBurst;
    }

    /** Whether more than this fraction of the burst is counted; never for a tenant without a burst. */
    boolean isAbove(double fractionOfBurst) {
        return burst > 0 && localCount() > fractionOfBurst * burst;
    }

    double admittedAtStart() {
        return admittedAtStart;
    }

    void countAdmittedAtStart() {
        admittedAtStart++;
    }

    /** What the share of the rate allows since the last call, in requests. */
    double elapsedUnits(double share, long now) {
        double seconds = (now - drainedAt) / MICROS_PER_SECOND;
        drainedAt = now;
        return requestsPerSecond * share * seconds;
    }

    void deferDrain(double units) {
        deferredDrain += units;
    }

    /** Drains, with half of the units at most going into the reserve of former views first. */
    void drainAfterFormerReserve(double units) {
        double toReserve = Math.min(reservedInFormerViews, units / 2);
        reservedInFormerViews -= toReserve;
        drain(units - toReserve);
    }

    double deferredDrain() {
        return deferredDrain;
    }

    double reserved() {
        double possiblyUsed = FIRST_RESERVED_FRACTION * reservedForUnreachable + SURGE_FACTOR * deferredDrain;
        return Math.max(Math.min(reservedForUnreachable, possiblyUsed), reservedInFormerViews);
    }

    void setReservedForUnreachable(double units) {
        reservedForUnreachable = units;
    }

    /** Members became unreachable: their fraction of what is left of the burst is theirs to use. */
    void onMembersLost(double unreachableFraction) {
        double remaining = Math.max(0, burst - localCount());
        reservedForUnreachable = Math.max(reservedForUnreachable, remaining * unreachableFraction);
    }

    /**
     * Members became reachable again in the same view and report all that they used meanwhile, so what was not
     * drained for their sake drains now.
     *
     * @param stillUnreachable the fraction of the unreachable members that is unreachable still
     */
    void onMembersRestored(double stillUnreachable) {
        drain(deferredDrain * (1 - stillUnreachable));
        deferredDrain *= stillUnreachable;
        reservedForUnreachable *= stillUnreachable;
    }

    /** Begins the links of a new view, and returns those of the former one. */
    LinkTotals onViewChange(int[] next, long now) {
        // Members that were unreachable in the former view do not report in this one what they used in that: the
        // reserve is as much as they can have used at several times their usual, and the drain what they left.
        double usedRateFraction = runAhead.ratePerSecond(now) / Math.max(requestsPerSecond, Double.MIN_NORMAL);
        double usedShare = Math.min(1, Math.max(usedRateFraction, localCount() / Math.max(burst, 1)));
        double possiblyUsed = deferredDrain * SURGE_FACTOR - TOLERATED_BURST_FRACTION * burst;
        reservedInFormerViews = Math.max(reservedInFormerViews, Math.min(reservedForUnreachable, possiblyUsed));
        reservedForUnreachable = 0;
        drain(deferredDrain * (1 - usedShare));
        deferredDrain = 0;
        return replaceLinks(next);
    }
}
