package reedmux.gatekeeper.failover;

/**
 * A token bucket. It starts empty: if a gatekeeper started with a full burst, a rolling restart would multiply the
 * budget. Times are microseconds.
 */
final class TokenBucket {
    private static final double MICROS_PER_SECOND = 1e6;
    private double unitsPerSecond;
    private double burstUnits;
    private double level;
    private long refilledAt;

    /** A bucket that fills at {@code unitsPerSecond} up to {@code burstUnits}. */
    TokenBucket(double unitsPerSecond, double burstUnits, long now) {
        this.unitsPerSecond = unitsPerSecond;
        this.burstUnits = burstUnits;
        refilledAt = now;
    }

    /** Replaces the limits; what has accumulated stays, up to the new burst. */
    void setLimits(double newUnitsPerSecond, double newBurstUnits, long now) {
        refill(now);
        unitsPerSecond = newUnitsPerSecond;
        burstUnits = newBurstUnits;
        level = Math.min(level, burstUnits);
    }

    private void refill(long now) {
        level = Math.min(burstUnits, level + unitsPerSecond * Math.max(0, now - refilledAt) / MICROS_PER_SECOND);
        refilledAt = Math.max(refilledAt, now);
    }

    /** Whether it holds so many units now. */
    boolean hasUnits(double units, long now) {
        refill(now);
        return level >= units;
    }

    /** Removes units that it {@link #hasUnits}. */
    void consume(double units) {
        level -= units;
    }

    /** Adds units, besides those of the rate. */
    void deposit(double units) {
        level = Math.min(burstUnits, level + units);
    }

    /** Microseconds until it holds so many units; one second if it never will. */
    long microsUntil(double units, long now) {
        refill(now);
        if (unitsPerSecond <= 0 || units > burstUnits) {
            return (long) MICROS_PER_SECOND;
        }
        return (long) Math.ceil(Math.max(0, units - level) / unitsPerSecond * MICROS_PER_SECOND);
    }
}
