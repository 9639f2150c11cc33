package reedmux.gatekeeper.failover;

/**
 * A request that our own providers cannot take.
 *
 * @param deadline   when its consumer gives up, in microseconds of the clock
 * @param units      what it takes from the quota
 * @param repeatable whether running it twice does no harm
 * @param neverRan   whether every call made for it so far is known never to have run
 * @param visitor    whether another region sent it
 * @param callsLeft  calls that it may still be given
 */
public record OverflowRequest(
        long deadline, double units, boolean idempotent, boolean neverRan, boolean remote, int attemptsLeft) {}
