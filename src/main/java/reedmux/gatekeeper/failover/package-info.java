/**
 * The decisions about another region as last resort: whether a request may go there and for how long, which
 * of its gateways takes it, and whether a request that another region sends is taken in.
 *
 * <p>Pure: told the time (whole microseconds) and what happens, gives values; no socket, thread, file or
 * logger. Owned by the thread that owns the reducer. What it promises stands in {@code docs/regions.md}, and
 * each promise there is one property test here.
 */
package reedmux.gatekeeper.failover;
