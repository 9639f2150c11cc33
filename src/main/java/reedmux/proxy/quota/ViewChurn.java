package reedmux.proxy.quota;

/**
 * How often the view changes, and what of the counts is lost by it: a member that ends cannot pass on what it was told,
 * so that some members never hear of some units. Times are microseconds.
 */
final class ViewChurn {
    private static final double MICROS_PER_SECOND = 1e6;
    /** Over which changes are counted: shorter forgets sooner, longer refuses for longer after a series of restarts. */
    private static final double DECAY_MICROS = 3e6;
    /** The part of the counts that is lost for each change a second, as measured with restarts in series. */
    private static final double LOSS_SECONDS = 0.03;

    private double decayedChanges;
    private long decayedAt;

    void onViewChange(long now) {
        decay(now);
        decayedChanges++;
    }

    private void decay(long now) {
        decayedChanges *= Math.exp((decayedAt - now) / DECAY_MICROS);
        decayedAt = now;
    }

    /** The part of the units that is counted. */
    double countedFraction(long now) {
        decay(now);
        return 1 / (1 + LOSS_SECONDS * decayedChanges / DECAY_MICROS * MICROS_PER_SECOND);
    }
}
