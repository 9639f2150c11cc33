package reedmux.proxy.quota;

import java.util.Arrays;
import reedmux.common.quota.HeapCounter;

/**
 * One tenant's counters at this proxy: the {@link HeapCounter}, the running totals sent to each neighbour, and the
 * part of the quota that is set aside for members that cannot be reached. All amounts are requests.
 */
final class TenantCounter extends HeapCounter {
    private static final double MICROS_PER_SECOND = 1e6;
    /** A total is sent this often after its last change: more sends survive more datagram loss and cost traffic. */
    private static final int SENDS_PER_CHANGE = 3;

    private double requestsPerSecond;
    private double burst;
    private long drainedAt;
    private double admittedAtStart;
    /** Units sent to each neighbour since the last view change, and how often each total is still to be sent. */
    private final double[] sentTotals = new double[NEIGHBOUR_COUNT];

    private final int[] sendsLeft = new int[NEIGHBOUR_COUNT];
    /** The part of the burst that members use which are unreachable in this view. */
    private double reservedForUnreachable;
    /** The same for earlier views: such members never report what they used, so the reserve is paid off by draining. */
    private double reservedInFormerViews;
    /** Units not drained here because unreachable members of this view may drain them on their side. */
    private double deferredDrain;

    TenantCounter(long now) {
        drainedAt = now;
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
        return Math.max(reservedForUnreachable, reservedInFormerViews);
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

    /**
     * Starts the links of a new view: totals begin at zero, and units that wait for a member that is still a neighbour
     * go on waiting.
     *
     * @param renumbered the index in the new view of each former neighbour, -1 for one that left
     * @param next       the indexes of the new neighbours, -1 for none
     */
    void onViewChange(int[] renumbered, int[] next) {
        renumber(renumbered);
        rewire(next);
        // Members that were unreachable in the former view do not report in this one what they used in that.
        reservedInFormerViews = Math.max(reservedInFormerViews, reservedForUnreachable);
        reservedForUnreachable = 0;
        deferredDrain = 0;
        Arrays.fill(sentTotals, 0);
        Arrays.fill(sendsLeft, 0);
    }

    /** Moves the units that wait for a neighbour into the total that it is sent. */
    void advanceTotal(int link) {
        double units = takePending(link);
        if (units != 0) {
            sentTotals[link] += units;
            sendsLeft[link] = SENDS_PER_CHANGE;
        }
    }

    boolean hasTotalToSend(int link) {
        return sendsLeft[link] > 0;
    }

    /** The total for a neighbour, which is sent now. */
    double sendTotal(int link) {
        sendsLeft[link] = Math.max(0, sendsLeft[link] - 1);
        return sentTotals[link];
    }
}
