/**
 * Failover between regions: whether a request that the local providers cannot serve is forwarded to the region of last
 * resort, to which of its gateways and with which timeout, and whether a request of another region is admitted.
 *
 * <p>{@link reedmux.gatekeeper.failover.FailoverPolicy} is the entry point for both directions. The package performs no
 * I/O and uses no threads, files or loggers: it receives events with times in whole microseconds and returns decisions.
 * It is used only by the thread that owns the reducer.
 *
 * <p>Guarantees, which {@code docs/regions.md} also describes and {@code FailoverPolicyTest} checks:
 *
 * <ul>
 *   <li>In any period, all gatekeepers of a region together forward at most the units of the configured rate plus one
 *     burst, and never more than the configured fraction of the requests they have received. Restarts and reloads do
 *     not change that.
 *   <li>A request is forwarded only if it comes from a local consumer, is idempotent or certainly has not been
 *     executed, and has attempts left. The timeouts leave room for the link latency and the margin.
 *   <li>A remote request is admitted only if it has passed through exactly one region, whose requests are accepted. So
 *     no request is forwarded in a loop.
 *   <li>Admitted remote requests stay within the limits on concurrency and rate, and none is admitted while the failure
 *     rate of local requests is too high or during the backoff that follows.
 * </ul>
 */
package reedmux.gatekeeper.failover;
