package reedmux.gatekeeper.failover;

/**
 * A request that is forwarded to another region.
 *
 * @param gateway       the gateway that it goes to
 * @param grantedMicros the time-out that the other region is given
 * @param timeoutMicros our own time-out; longer than {@code grantedMicros} by the latency of the link
 */
public record ForwardedRequest(String gateway, long grantedMicros, long timeoutMicros) {}
