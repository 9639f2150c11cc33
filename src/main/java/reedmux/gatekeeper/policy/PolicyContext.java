package reedmux.gatekeeper.policy;

import java.util.SplittableRandom;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicyActions;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicySettings;

/**
 * State shared by all parts of one {@link GatekeeperPolicy}: the settings, the only source of randomness, and the
 * current event. Owned by the thread that handles events.
 */
final class PolicyContext {
    /** Microseconds in a second, as the divisor of rates. */
    static final double MICROS_PER_SECOND = 1e6;

    final PolicySettings settings;
    final SplittableRandom random;
    /** Time of the first event, in microseconds; -1 before it. */
    long startedAt = -1;
    /** Time of the current event, in microseconds. */
    long now;
    /** Receives the decisions on the current event. */
    PolicyActions actions;

    PolicyContext(PolicySettings settings, long seed) {
        this.settings = settings;
        random = new SplittableRandom(seed);
    }
}
