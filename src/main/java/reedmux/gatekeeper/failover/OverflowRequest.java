package reedmux.gatekeeper.failover;

/**
 * A request that the local providers cannot serve.
 *
 * @param deadline     clock time in microseconds at which the consumer stops waiting
 * @param units        quota units that the request consumes
 * @param idempotent   whether the request may be executed more than once
 * @param neverRan     whether all attempts so far are known not to have been executed
 * @param remote       whether the request was sent by another region
 * @param attemptsLeft number of attempts that remain
 */
public record OverflowRequest(
        long deadline, double units, boolean idempotent, boolean neverRan, boolean remote, int attemptsLeft) {}
