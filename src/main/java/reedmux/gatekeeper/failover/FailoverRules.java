package reedmux.gatekeeper.failover;

import java.util.List;
import java.util.Set;

/**
 * What the operators have set about other regions. Rates and bursts are those of the whole region, of which each
 * gatekeeper uses an equal share. Times are microseconds; units are the quota's.
 *
 * @param name         our region's name, as other regions know it
 * @param acceptsFrom  the regions whose requests we accept; empty if none
 * @param remoteLimits the limits on the requests that we accept
 * @param target       the region of last resort, to which we forward; null if there is none
 */
public record FailoverRules(
        String name, Set<String> acceptsFrom, RemoteRequestLimits remoteLimits, FailoverTarget target) {

    /**
     * Limits on the requests of other regions.
     *
     * @param maxConcurrent      requests in flight at one gatekeeper
     * @param unitsPerSecond     rate over the region
     * @param burstUnits         burst over the region
     * @param closeAtFailureRate failure rate of our own consumers' requests from which no remote one is accepted
     * @param minBackoffMicros         how long none is accepted after that
     */
    public record RemoteRequestLimits(
            int maxConcurrent,
            double unitsPerSecond,
            double burstUnits,
            double closeAtFailureRate,
            long minBackoffMicros) {}

    /**
     * Where requests go that our own providers cannot serve.
     *
     * @param region               its name
     * @param gateways             the names of its gateways
     * @param maxShare             requests forwarded, as a fraction of the requests received
     * @param unitsPerSecond       rate of forwarded units, over our region
     * @param burstUnits           burst of forwarded units, over our region
     * @param maxConcurrent        forwarded requests in flight, of one gatekeeper
     * @param minRemainingMicros   a request is not forwarded if less time than this is left for the other region
     * @param marginMicros         time kept for the response's way to the consumer, besides the link's latency
     * @param initialLatencyMicros the link's latency until it has been measured
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
