/**
 * Failover between regions: whether a request that our own providers cannot serve is forwarded to the region of last
 * resort, to which of its gateways and with which time-out, and whether a request of another region is admitted.
 *
 * <p>{@link reedmux.gatekeeper.failover.FailoverPolicy} is the entry point for both directions. Pure: events and times
 * in whole microseconds go in, decisions come out; no socket, thread, file or logger. Owned by the thread that owns the
 * reducer. {@code docs/regions.md} states the guarantees, and each of them has a property test here.
 */
package reedmux.gatekeeper.failover;
