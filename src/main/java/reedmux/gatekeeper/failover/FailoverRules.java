package reedmux.gatekeeper.failover;

import java.util.List;
import java.util.Set;

/**
 * What the operators have set about regions. Rates and bursts are those of the whole region; a gatekeeper
 * takes its even part of them.
 *
 * @param name      our region's name, as other regions know it
 * @param takesFrom the regions whose requests we take in; none means that we take in nothing
 * @param visitors  the bounds on what we take in
 * @param away      our last resort, or null for none
 */
public record FailoverRules(
        String name, Set<String> acceptsFrom, RemoteRequestLimits remoteLimits, FailoverTarget target) {

    /**
     * Bounds on what another region may have done here.
     *
     * @param mostAtOnce visitors in work at once at one gatekeeper
     * @param rate       units a second, over the region
     * @param burst      units at once, over the region
     * @param suffersAt  share of our own consumers' requests served badly from which no visitor is taken in
     * @param hold       microseconds for which we stay closed after that
     */
    public record RemoteRequestLimits(
            int maxConcurrent, double unitsPerSecond, double burstUnits, double closeAtFailureRate, long holdMicros) {}

    /**
     * Where we send what our own providers cannot take.
     *
     * @param region     its name
     * @param gateways   its gateways, by the names under which the link knows them
     * @param share      most requests sent away, as a share of the requests taken
     * @param rate       units a second sent away, over the region
     * @param burst      units sent away at once, over the region
     * @param mostAtOnce requests away at once, of one gatekeeper
     * @param leastTime  microseconds that must be left for the other region, or the request stays
     * @param margin     microseconds kept for the answer's way on, beyond what the link takes
     * @param firstGuess microseconds that the link is taken to need until it has been measured
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
