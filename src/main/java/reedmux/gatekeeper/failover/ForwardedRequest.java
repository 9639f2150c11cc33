package reedmux.gatekeeper.failover;

/**
 * Where a forwarded request is sent, and its timeouts.
 *
 * @param gateway       name of the remote gateway that receives the request
 * @param grantedMicros timeout granted to the other region
 * @param timeoutMicros local timeout, which exceeds {@code grantedMicros} by the link latency
 */
public record ForwardedRequest(String gateway, long grantedMicros, long timeoutMicros) {}
