/**
 * All decisions of one gateway, without I/O, threads and clock. {@link reedmux.gatekeeper.policy.TrafficPolicy} is what
 * it is notified of and what it may do; {@link reedmux.gatekeeper.policy.GatekeeperPolicy} routes each event to the
 * class that decides on it, which has its own constants:
 *
 * <ul>
 *   <li>{@code QuotaPolicy}: what each customer may still take
 *   <li>{@code PeerFailureDetector}: when peers are sent a packet, and which of them are silent
 *   <li>{@code AdmissionPolicy}: which requests are rejected in overload
 *   <li>{@code ServerSelector}: which server a request goes to
 *   <li>{@code RetryPolicy}: whether and where a request is sent again, and how long an attempt may take
 *   <li>{@code ServerHealth}: which servers are ejected, and how many attempts each may have in flight
 * </ul>
 *
 * <p>These are the files under {@code policy} in {@code deploy/balancer.toml}, of 1,010 non-blank lines in all at most.
 * The others decide nothing: state, the form and the delivery of packets between gateways, topology, averages.
 */
package reedmux.gatekeeper.policy;
