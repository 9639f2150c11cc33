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
 */
public record SoakOutcome(
        long seed,
        List<String> violations,
        List<String> faults,
        long requests,
        long served,
        int endedByDeparture,
        int processes,
        int heldUpTimes) {}
