/**
 * All decisions of one gateway, without I/O, threads or a clock. {@link reedmux.gatekeeper.policy.TrafficPolicy}
 * defines the events that it receives and the actions that it may take. {@link
 * reedmux.gatekeeper.policy.GatekeeperPolicy} dispatches each event to the class that decides on it, which defines its
 * own constants:
 *
 * <ul>
 *   <li>{@code QuotaPolicy}: how many units each customer may still use
 *   <li>{@code PeerFailureDetector}: when peers are sent a packet, and which of them are unreachable
 *   <li>{@code AdmissionPolicy}: which requests are rejected under overload
 *   <li>{@code ServerSelector}: which server a request is sent to
 *   <li>{@code RetryPolicy}: whether and where a request is retried, and the timeout of each attempt
 *   <li>{@code ServerHealth}: which servers are ejected, and how many attempts each may have in flight
 * </ul>
 *
 * <p>These are the files listed under {@code policy} in {@code deploy/balancer.toml}, which together have at most 1,010
 * non-blank lines. The other classes make no decisions: they hold state, encode and deliver packets between gateways,
 * maintain the topology and compute averages.
 */
package reedmux.gatekeeper.policy;
