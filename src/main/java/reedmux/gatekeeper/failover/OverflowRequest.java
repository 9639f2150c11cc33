package reedmux.gatekeeper.failover;

/**
 * A request that our own providers cannot serve.
 *
 * @param deadline     when its consumer gives up, in microseconds of the clock
 * @param units        the units that it takes from the quota
 * @param idempotent   whether it may run twice
 * @param neverRan     whether all its attempts so far are known never to have run
 * @param remote       whether another region sent it
 * @param attemptsLeft attempts that it may still be given
 */
public record OverflowRequest(
        long deadline, double units, boolean idempotent, boolean neverRan, boolean remote, int attemptsLeft) {}
