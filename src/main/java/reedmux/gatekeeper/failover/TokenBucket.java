package reedmux.gatekeeper.failover;

/**
 * A token bucket that starts empty: if each gatekeeper started with a full burst, a rolling restart would multiply the
 * budget. Times are in microseconds.
 */
final class TokenBucket {
    private static final double MICROS_PER_SECOND = 1e6;
    private double unitsPerSecond;
    private double burstUnits;
    private double level;
    private long refilledAt;

    /** Creates an empty bucket that refills at {@code unitsPerSecond} up to {@code burstUnits}. */
    TokenBucket(double unitsPerSecond, double burstUnits, long now) {
        this.unitsPerSecond = unitsPerSecond;
        this.burstUnits = burstUnits;
        refilledAt = now;
    }

    /** Replaces the limits. Accumulated units are kept, up to the new burst. */
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

    /** Returns whether at least this many units are available now. */
    boolean hasUnits(double units, long now) {
        refill(now);
        return level >= units;
    }

    /** Removes units that {@link #hasUnits} has found to be available. */
    void consume(double units) {
        level -= units;
    }

    /** Adds units in addition to those of the rate, up to the burst. */
    void deposit(double units) {
        level = Math.min(burstUnits, level + units);
    }

    /** Returns the time in microseconds until this many units are available, or one second if they never will be. */
    long microsUntil(double units, long now) {
        refill(now);
        if (unitsPerSecond <= 0 || units > burstUnits) {
            return (long) MICROS_PER_SECOND;
        }
        return (long) Math.ceil(Math.max(0, units - level) / unitsPerSecond * MICROS_PER_SECOND);
    }
}
