package reedmux.common.quota;

/**
 * Bounds how far one member of a quota heap may run ahead of what the others know. A count tells what was used up to
 * some time ago; what all members admit in between is in nobody's count, and with many members, or counts that are
 * late, it can be many times the quota. So each member takes what it has admitted lately for unknown to the others, and
 * keeps that within its share of what the units that are known leave of a window: as the shares add up to one, all
 * members together stay within the window, however late the counts are.
 *
 * <p>A member's share is its part of what all members admitted, as far as the others know of it, with a small even part
 * for members that are new to the customer. Times are microseconds. Deterministic; for one thread.
 */
public final class RunAheadLimit {
    /** In place of a time: nothing was admitted before anything was heard of. */
    public static final long ALL_KNOWN = Long.MIN_VALUE / 2;

    private static final double MICROS_PER_SECOND = 1e6;
    /** In any such time the rate and the burst may be used, with an allowance on top: the bound that holds outside. */
    private static final long WINDOW_MICROS = 5_000_000;

    private static final double WINDOW_OVERSHOOT = 1.1;
    private static final double WINDOW_SLACK = 20;
    /** The part of a window that is used; the rest is for what is late beyond the estimate. */
    private static final double USABLE_WINDOW_FRACTION = 0.95;
    /** What customers may ask for, in quotas: where the window has room for that until it is known, nothing binds. */
    private static final double SURGE_FACTOR = 4.5;
    /** Counts that are later are taken for as late as this, or members would know too little of their own shares. */
    private static final long MAX_UNREPORTED_MICROS = 2_000_000;
    /** Over which shares are measured: shorter follows clients that move, longer is steadier for few requests. */
    private static final double SHARE_DECAY_MICROS = 8e6;
    /** The part of the shares that is spread evenly, in what the quota's rate allows in the memory's time. */
    private static final double EVEN_SHARE_FRACTION = 0.08;
    /** Below this part of the burst the count is calm, and a member may admit what it usually does. */
    private static final double LOW_USAGE_BURST_FRACTION = 0.6;
    /** By how many standard deviations it may be more than usual: fewer refuse clients that come in clusters. */
    private static final double LOW_USAGE_DEVIATIONS = 3;
    /** What a member may admit that has seen nothing of the customer: more is admitted where all members are new. */
    private static final double LOW_USAGE_BASE_UNITS = 1.5;
    /** Where units are unknown for longer, more members may be new at once, and each may admit less. */
    private static final double LOW_USAGE_BASE_MICROS = 1e6;

    private final SlidingSum admitted = new SlidingSum();
    private final SlidingSum counted = new SlidingSum();
    /** Admitted here, and counted of all members; both decay over the memory's time. */
    private double ownUnits;

    private double totalUnits;
    private long decayedAt;
    private final long knownSince;

    /**
     * A limit that has seen nothing.
     *
     * @param knownSince from when on all units are heard of; what was admitted before is taken for the whole rate
     */
    public RunAheadLimit(long now, long knownSince) {
        decayedAt = now;
        this.knownSince = knownSince;
    }

    /** Units that this member admitted; negative where they are taken back. */
    public void onAdmitted(double units, long now) {
        admitted.add(units, now);
        onCounted(units, now);
        ownUnits = Math.max(0, ownUnits + units);
    }

    /** Units that were counted, of whichever member. */
    public void onCounted(double units, long now) {
        counted.add(units, now);
        decay(now);
        totalUnits = Math.max(0, totalUnits + units);
    }

    private void decay(long now) {
        double factor = Math.exp((decayedAt - now) / SHARE_DECAY_MICROS);
        ownUnits *= factor;
        totalUnits *= factor;
        decayedAt = now;
    }

    /** What all members admitted a second lately. */
    public double ratePerSecond(long now) {
        decay(now);
        return totalUnits / SHARE_DECAY_MICROS * MICROS_PER_SECOND;
    }

    /**
     * How many units may be admitted now, or {@link Double#MAX_VALUE} where a surge would be known before it uses up
     * what is left of the window.
     *
     * @param count         all units that are counted here, this member's included
     * @param quotaRate     of the customer, in units a second
     * @param burst         of the customer, in units
     * @param members       how many members share the quota
     * @param reportDelayMicros    how long units may be unknown to some other member
     */
    public double allowance(
            double count, double quotaRate, double burst, int members, long reportDelayMicros, long now) {
        long unreportedMicros = Math.min(MAX_UNREPORTED_MICROS, reportDelayMicros);
        double windowLimit = (quotaRate * WINDOW_MICROS / MICROS_PER_SECOND + burst) * WINDOW_OVERSHOOT + WINDOW_SLACK;
        double unknownUnits = quotaRate * Math.max(0, knownSince + WINDOW_MICROS - now) / MICROS_PER_SECOND;
        double remaining = USABLE_WINDOW_FRACTION * windowLimit - unknownUnits - counted.sumOfLast(WINDOW_MICROS, now);
        if (SURGE_FACTOR * quotaRate * unreportedMicros / MICROS_PER_SECOND <= remaining) {
            return Double.MAX_VALUE;
        }
        decay(now);
        double recentUnits = admitted.sumOfLast(unreportedMicros, now);
        double reportedOwnUnits = Math.max(0, ownUnits - recentUnits) * Math.exp(unreportedMicros / SHARE_DECAY_MICROS);
        double allowed = shareOfWindow(reportedOwnUnits, recentUnits, quotaRate, members) * (remaining + recentUnits);
        if (count < LOW_USAGE_BURST_FRACTION * burst) {
            allowed = Math.max(allowed, lowUsageAllowance(reportedOwnUnits, unreportedMicros));
        }
        return allowed - recentUnits;
    }

    /**
     * The part of a window that this member may use without the others' knowledge: by what it had admitted when they
     * last knew. Its recent units don't raise it, or the shares of all would add up to more than one in a surge.
     */
    private double shareOfWindow(double reportedOwnUnits, double recentUnits, double quotaRate, int members) {
        double evenUnits = EVEN_SHARE_FRACTION * quotaRate * SHARE_DECAY_MICROS / MICROS_PER_SECOND;
        return Math.min(
                1, (reportedOwnUnits + evenUnits / members) / (Math.max(0, totalUnits - recentUnits) + evenUnits));
    }

    /** What a member may admit in a time while its customer is calm. */
    private double lowUsageAllowance(double reportedOwnUnits, long unreportedMicros) {
        double expectedUnits = reportedOwnUnits * unreportedMicros / SHARE_DECAY_MICROS;
        double baseUnits = LOW_USAGE_BASE_UNITS * Math.min(1, LOW_USAGE_BASE_MICROS / unreportedMicros);
        return baseUnits + expectedUnits + LOW_USAGE_DEVIATIONS * Math.sqrt(expectedUnits);
    }
}
