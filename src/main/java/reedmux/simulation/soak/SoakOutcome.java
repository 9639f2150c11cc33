package reedmux.simulation.soak;

import java.util.List;

/**
 * How a soak went.
 *
 * @param seed             its seed
 * @param violations       of invariants; empty for a good one
 * @param faults           what was injected, with seconds from the first one
 * @param requests         of clients
 * @param served           of these requests
 * @param endedByDeparture executions that ended as their client had left
 * @param processes        that were started
 * @param heldUpTimes      how often the machine held a proxy up for over a second
 * @param worstQuotaShare  the largest share of what its quota allows that any tenant had executed in a window
 * @param withinQuota      requests of tenants that kept to their quota
 * @param refused          of these, as if they were beyond it
 */
public record SoakOutcome(
        long seed,
        List<String> violations,
        List<String> faults,
        long requests,
        long served,
        int endedByDeparture,
        int processes,
        int heldUpTimes,
        double worstQuotaShare,
        int withinQuota,
        int refused) {}
