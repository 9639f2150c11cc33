package reedmux.gatekeeper.failover;

import java.util.List;
import java.util.Set;

/**
 * The operators' settings for failover between regions. Rates and bursts apply to the whole region, and each gatekeeper
 * gets an equal share of them. Times are in microseconds; units are quota units.
 *
 * @param name         name of this region, as other regions know it
 * @param acceptsFrom  names of the regions whose requests are accepted; empty if there are none
 * @param remoteLimits limits on the requests accepted from other regions
 * @param target       the region of last resort, which requests are forwarded to; null if there is none
 */
public record FailoverRules(
        String name, Set<String> acceptsFrom, RemoteRequestLimits remoteLimits, FailoverTarget target) {

    /**
     * Limits on the requests accepted from other regions.
     *
     * @param maxConcurrent      maximum number of these requests in flight at one gatekeeper
     * @param unitsPerSecond     maximum rate, for the whole region
     * @param burstUnits         maximum burst, for the whole region
     * @param closeAtFailureRate failure rate of local requests above which no remote request is admitted
     * @param minBackoffMicros   how long admission stays closed, before any doubling
     */
    public record RemoteRequestLimits(
            int maxConcurrent,
            double unitsPerSecond,
            double burstUnits,
            double closeAtFailureRate,
            long minBackoffMicros) {}

    /**
     * The region to which requests are forwarded that the local providers cannot serve.
     *
     * @param region               name of that region
     * @param gateways             names of its gateways
     * @param maxShare             maximum number of forwarded requests, as a fraction of the local requests received
     * @param unitsPerSecond       maximum rate of forwarded units, for the whole local region
     * @param burstUnits           maximum burst of forwarded units, for the whole local region
     * @param maxConcurrent        maximum number of forwarded requests in flight, for one gatekeeper
     * @param minRemainingMicros   minimum time that must remain for the other region; otherwise the request is not
     *                             forwarded
     * @param marginMicros         time reserved for returning the response to the consumer, in addition to the link
     *                             latency
     * @param initialLatencyMicros link latency that is assumed before the first measurement
     */
    public record FailoverTarget(
            String region,
            List<String> gateways,
            double maxShare,
            double unitsPerSecond,
            double burstUnits,
            int maxConcurrent,
            long minRemainingMicros,
            long marginMicros,
            long initialLatencyMicros) {}
}
