package reedmux.proxy.quota;

import reedmux.common.quota.RunAheadLimit;

/**
 * Holds one tenant's counters at this proxy: the count, the links in the current view, and the part of the quota that
 * is reserved for unreachable members. All amounts are in requests.
 */
final class TenantCounter extends LinkTotals {
    private static final double MICROS_PER_SECOND = 1e6;

    /** Estimated usage of unreachable members, as a multiple of what the quota rate allows them. */
    private static final double SURGE_FACTOR = 2;
    /**
     * Fraction of the reserve that applies as soon as members become unreachable; the rest is added as they have had
     * time to use it. A higher value rejects more requests when a member merely restarts; a lower one lets both sides
     * of a partition use the burst.
     */
    private static final double FIRST_RESERVED_FRACTION = 0.5;
    /** Fraction of the burst that may be used twice at a view change; the tolerance of the window limit exceeds it. */
    private static final double TOLERATED_BURST_FRACTION = 0.15;

    private double requestsPerSecond;
    private double burst;
    private long drainedAt;
    private double admittedAtStart;
    /** Part of the burst reserved for the members that are unreachable in this view. */
    private double reservedForUnreachable;
    /** The same for former views. Those members never report their usage, so the reserve is released by draining. */
    private double reservedInFormerViews;
    /** Units not drained here because the unreachable members of this view may use that part of the rate themselves. */
    private double deferredDrain;

    private final RunAheadLimit runAhead;

    /** Creates a counter; {@code knownSince} is the time since which this process receives the units of all members. */
    TenantCounter(long now, long knownSince) {
        drainedAt = now;
        runAhead = new RunAheadLimit(now, knownSince);
    }

    /** Counts units that were admitted at this proxy; a negative number refunds units. */
    void countAdmitted(double units, long now) {
        runAhead.onAdmitted(units, now);
        add(units, LOCAL);
    }

    /** Returns the limit on units that are admitted before the other members know of them. */
    RunAheadLimit runAhead() {
        return runAhead;
    }

    void setLimits(double nextRequestsPerSecond, double nextBurst) {
        requestsPerSecond = nextRequestsPerSecond;
        burst = nextBurst;
    }

    /** Returns whether the count exceeds this fraction of the burst; always false for a tenant without a burst. */
    boolean isAbove(double fractionOfBurst) {
        return burst > 0 && localCount() > fractionOfBurst * burst;
    }

    double admittedAtStart() {
        return admittedAtStart;
    }

    void countAdmittedAtStart() {
        admittedAtStart++;
    }

    /** Returns the requests that the given share of the rate allows for the time since the last call. */
    double elapsedUnits(double share, long now) {
        double seconds = (now - drainedAt) / MICROS_PER_SECOND;
        drainedAt = now;
        return requestsPerSecond * share * seconds;
    }

    void deferDrain(double units) {
        deferredDrain += units;
    }

    /** Drains the count, after at most half of the units have reduced the reserve for former views. */
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

    /** Reserves the unreachable members' fraction of the remaining burst when members become unreachable. */
    void onMembersLost(double unreachableFraction) {
        double remaining = Math.max(0, burst - localCount());
        reservedForUnreachable = Math.max(reservedForUnreachable, remaining * unreachableFraction);
    }

    /**
     * Drains the deferred units when members become reachable again in the same view, since these members report all
     * units that they used in the meantime.
     *
     * @param stillUnreachable the fraction of the previously unreachable members that is still unreachable
     */
    void onMembersRestored(double stillUnreachable) {
        drain(deferredDrain * (1 - stillUnreachable));
        deferredDrain *= stillUnreachable;
        reservedForUnreachable *= stillUnreachable;
    }

    /** Starts the links of a new view and returns those of the former view. */
    LinkTotals onViewChange(int[] next, long now) {
        // Members that were unreachable in the former view do not report its units in this view. The reserve covers
        // what
        // they can have used at several times their usual rate; the drain covers what they have left unused.
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
