package reedmux.gatekeeper.failover;

/**
 * A request that goes to another region.
 *
 * @param gateway the gateway it goes to
 * @param told    microseconds that the other region is told it has
 * @param patience microseconds after which we give it up ourselves; more than {@code grantedMicros} by the link's time
 */
public record ForwardedRequest(String gateway, long grantedMicros, long timeoutMicros) {}
