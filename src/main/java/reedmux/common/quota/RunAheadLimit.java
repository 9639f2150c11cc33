package reedmux.common.quota;

/**
 * Limits the units that one member of a quota heap may admit before the other members know of them. A member's count
 * includes only the units that have already been reported to it. With many members or delayed reports, the units that
 * all members admit in the meantime can be many times the quota. Each member therefore treats the units it admitted
 * recently as unknown to the others, and keeps them within its share of what the known units leave of a time window.
 * Because the shares add up to one, all members together stay within the window regardless of the delay.
 *
 * <p>A member's share is its fraction of the units admitted by all members, as far as these have been reported. A small
 * part is distributed evenly so that members which are new to the customer get a share too. Times are in microseconds.
 * The class is deterministic and not thread-safe.
 */
public final class RunAheadLimit {
    /** Value for {@code knownSince} if no units were admitted before this member began to receive reports. */
    public static final long ALL_KNOWN = Long.MIN_VALUE / 2;

    private static final double MICROS_PER_SECOND = 1e6;
    /**
     * Length of the window in which the rate and one burst may be used, plus the tolerance below. This is the limit
     * observed from outside.
     */
    private static final long WINDOW_MICROS = 5_000_000;

    private static final double WINDOW_OVERSHOOT = 1.1;
    private static final double WINDOW_SLACK = 20;
    /** Fraction of the window limit that is used; the rest covers units reported later than estimated. */
    private static final double USABLE_WINDOW_FRACTION = 0.95;
    /**
     * Demand expected in a surge, as a multiple of the quota rate. Admission is not limited here while the window has
     * room for such demand until it is reported.
     */
    private static final double SURGE_FACTOR = 4.5;
    /**
     * Upper limit on the assumed report delay; with a longer one, members would know too little of their own shares.
     */
    private static final long MAX_UNREPORTED_MICROS = 2_000_000;
    /**
     * Time constant of the exponential decay with which shares are measured. A shorter one adapts faster to clients
     * that move between members; a longer one is steadier at low request rates.
     */
    private static final double SHARE_DECAY_MICROS = 8e6;
    /**
     * Weight of the evenly distributed part of the shares, as a fraction of the units that the quota rate allows in
     * {@link #SHARE_DECAY_MICROS}.
     */
    private static final double EVEN_SHARE_FRACTION = 0.08;
    /** Fraction of the burst below which usage counts as low, so that a member may admit its usual number of units. */
    private static final double LOW_USAGE_BURST_FRACTION = 0.6;
    /**
     * Number of standard deviations by which a member may exceed its usual units at low usage; a smaller number rejects
     * clients that arrive in clusters.
     */
    private static final double LOW_USAGE_DEVIATIONS = 3;
    /**
     * Units that a member may admit for a customer that it has not seen before. A larger value admits more in total
     * when all members are new to the customer.
     */
    private static final double LOW_USAGE_BASE_UNITS = 1.5;
    /**
     * Report delay from which {@link #LOW_USAGE_BASE_UNITS} is reduced: with a longer delay more members may be new to
     * the customer at once, so each may admit less.
     */
    private static final double LOW_USAGE_BASE_MICROS = 1e6;

    private final SlidingSum admitted = new SlidingSum();
    private final SlidingSum counted = new SlidingSum();
    /** Units admitted by this member, decaying over {@link #SHARE_DECAY_MICROS}. */
    private double ownUnits;
    /** Units counted for all members, with the same decay. */
    private double totalUnits;

    private long decayedAt;
    private final long knownSince;

    /**
     * Creates a limit for which no units have been counted yet.
     *
     * @param now        the current time
     * @param knownSince the time since which all units have been reported to this member; before it, the customer is
     *     assumed to have used its full rate
     */
    public RunAheadLimit(long now, long knownSince) {
        decayedAt = now;
        this.knownSince = knownSince;
    }

    /** Records units that this member admitted; a negative number refunds units. */
    public void onAdmitted(double units, long now) {
        admitted.add(units, now);
        onCounted(units, now);
        ownUnits = Math.max(0, ownUnits + units);
    }

    /** Records units that were admitted by any member. */
    public void onCounted(double units, long now) {
        counted.add(units, now);
        decay(now);
        totalUnits = Math.max(0, totalUnits + units);
    }

    private void decay(long now) {
        double factor = StrictMath.exp((decayedAt - now) / SHARE_DECAY_MICROS);
        ownUnits *= factor;
        totalUnits *= factor;
        decayedAt = now;
    }

    /** Returns the recent admission rate of all members together, in units per second. */
    public double ratePerSecond(long now) {
        decay(now);
        return totalUnits / SHARE_DECAY_MICROS * MICROS_PER_SECOND;
    }

    /**
     * Returns how many units may be admitted now, or {@link Double#MAX_VALUE} if a surge would be reported before it
     * uses up what is left of the window.
     *
     * @param count             all units that this member counts, including its own
     * @param quotaRate         the quota rate of the customer, in units per second
     * @param burst             the burst of the customer, in units
     * @param members           number of members that share the quota
     * @param reportDelayMicros time until admitted units are known to all other members
     * @param now               the current time
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
        double reportedOwnUnits =
                Math.max(0, ownUnits - recentUnits) * StrictMath.exp(unreportedMicros / SHARE_DECAY_MICROS);
        double allowed = shareOfWindow(reportedOwnUnits, recentUnits, quotaRate, members) * (remaining + recentUnits);
        if (count < LOW_USAGE_BURST_FRACTION * burst) {
            allowed = Math.max(allowed, lowUsageAllowance(reportedOwnUnits, unreportedMicros));
        }
        return allowed - recentUnits;
    }

    /**
     * Returns the fraction of the remaining window that this member may use before its units are reported. It follows
     * from the units that the other members already know of. Recent units do not raise it, because otherwise the shares
     * of all members would add up to more than one in a surge.
     */
    private double shareOfWindow(double reportedOwnUnits, double recentUnits, double quotaRate, int members) {
        double evenUnits = EVEN_SHARE_FRACTION * quotaRate * SHARE_DECAY_MICROS / MICROS_PER_SECOND;
        return Math.min(
                1, (reportedOwnUnits + evenUnits / members) / (Math.max(0, totalUnits - recentUnits) + evenUnits));
    }

    /** Returns the units that a member may admit within {@code unreportedMicros} while usage is low. */
    private double lowUsageAllowance(double reportedOwnUnits, long unreportedMicros) {
        double expectedUnits = reportedOwnUnits * unreportedMicros / SHARE_DECAY_MICROS;
        double baseUnits = LOW_USAGE_BASE_UNITS * Math.min(1, LOW_USAGE_BASE_MICROS / unreportedMicros);
        return baseUnits + expectedUnits + LOW_USAGE_DEVIATIONS * Math.sqrt(expectedUnits);
    }
}
