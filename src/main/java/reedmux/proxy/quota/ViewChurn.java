package reedmux.proxy.quota;

/**
 * Tracks how often the view changes and estimates the units that are lost as a result. A member that stops cannot
 * forward the units it has received, so some members never count them. Times are in microseconds.
 */
final class ViewChurn {
    private static final double MICROS_PER_SECOND = 1e6;
    /**
     * Time constant with which past changes decay exponentially. A longer one rejects requests for longer after a
     * series of restarts.
     */
    private static final double DECAY_MICROS = 3e6;
    /** Fraction of the counts that is lost for each view change per second when members restart in series. */
    private static final double LOSS_SECONDS = 0.03;

    private double decayedChanges;
    private long decayedAt;

    void onViewChange(long now) {
        decay(now);
        decayedChanges++;
    }

    private void decay(long now) {
        decayedChanges *= StrictMath.exp((decayedAt - now) / DECAY_MICROS);
        decayedAt = now;
    }

    /** Returns the estimated fraction of units that reaches the counts. */
    double countedFraction(long now) {
        decay(now);
        return 1 / (1 + LOSS_SECONDS * decayedChanges / DECAY_MICROS * MICROS_PER_SECOND);
    }
}
