package reedmux.region;

/**
 * A store of units that fills at a rate up to a burst. It starts empty: a gatekeeper that restarts must not
 * bring a full burst along, or a rolling restart would multiply the budget.
 */
final class Bucket {
    private static final double SECOND = 1e6;
    private double rate;
    private double burst;
    private double level;
    private long at;

    /** {@code rate} in units a second, {@code burst} in units, {@code now} in microseconds. */
    Bucket(double rate, double burst, long now) {
        this.rate = rate;
        this.burst = burst;
        at = now;
    }

    /** Takes over other bounds; what is in it stays, up to the new burst. */
    void bounds(double newRate, double newBurst, long now) {
        fill(now);
        rate = newRate;
        burst = newBurst;
        level = Math.min(level, burst);
    }

    private void fill(long now) {
        level = Math.min(burst, level + rate * Math.max(0, now - at) / SECOND);
        at = Math.max(at, now);
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
    void earn(double units) {
        level = Math.min(burst, level + units);
    }

    /** Microseconds until it holds so many units; a second where it never will. */
    long until(double units, long now) {
        fill(now);
        return rate <= 0 || units > burst
                ? (long) SECOND
                : (long) Math.ceil(Math.max(0, units - level) / rate * SECOND);
    }

    double level() {
        return level;
    }
}
