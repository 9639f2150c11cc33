package reedmux.simulation.soak;

import java.util.List;

/**
 * The result of a soak.
 *
 * @param seed             the seed of the soak
 * @param violations       the violations of invariants; empty if the soak passed
 * @param faults           the injected faults, each with its time in seconds since the traffic was started
 * @param requests         the number of requests that clients sent
 * @param served           the number of these requests that were served
 * @param comparedBodies   the number of large request bodies whose digest checkers compared
 * @param endedByDeparture the number of executions that ended because their client had disconnected
 * @param processes        the number of processes that were started
 * @param heldUpTimes      how often the host stalled a proxy for more than a second
 * @param worstQuotaShare  the largest fraction of its quota that any tenant had executed in a window
 * @param withinQuota      the number of responses to tenants that stayed within their quota
 * @param refused          the number of these responses that refused the request for exceeding the quota
 */
public record SoakOutcome(
        long seed,
        List<String> violations,
        List<String> faults,
        long requests,
        long served,
        int comparedBodies,
        int endedByDeparture,
        int processes,
        int heldUpTimes,
        double worstQuotaShare,
        int withinQuota,
        int refused) {}
