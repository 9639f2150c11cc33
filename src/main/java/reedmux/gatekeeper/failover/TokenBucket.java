package reedmux.gatekeeper.failover;

/**
 * A store of units that fills at a rate up to a burst. It starts empty: a gatekeeper that restarts must not
 * bring a full burst along, or a rolling restart would multiply the budget.
 */
final class TokenBucket {
    private static final double MICROS_PER_SECOND = 1e6;
    private double rate;
    private double burst;
    private double level;
    private long filledAt;

    /** {@code rate} in units a second, {@code burst} in units, {@code now} in microseconds. */
    TokenBucket(double rate, double burst, long now) {
        this.rate = rate;
        this.burst = burst;
        filledAt = now;
    }

    /** Takes over other bounds; what is in it stays, up to the new burst. */
    void setLimits(double newRate, double newBurst, long now) {
        fill(now);
        rate = newRate;
        burst = newBurst;
        level = Math.min(level, burst);
    }

    private void fill(long now) {
        level = Math.min(burst, level + rate * Math.max(0, now - filledAt) / MICROS_PER_SECOND);
        filledAt = Math.max(filledAt, now);
    }

    /** Whether it holds so many units. */
    boolean holds(double units, long now) {
        fill(now);
        return level >= units;
    }

    void take(double units) {
        level -= units;
    }

    /** Puts in units that something else earned. */
    void deposit(double units) {
        level = Math.min(burst, level + units);
    }

    /** Microseconds until it holds so many units; a second where it never will. */
    long microsUntil(double units, long now) {
        fill(now);
        return rate <= 0 || units > burst
                ? (long) MICROS_PER_SECOND
                : (long) Math.ceil(Math.max(0, units - level) / rate * MICROS_PER_SECOND);
    }

    double level() {
        return level;
    }
}
