package reedmux.gatekeeper.policy;

import java.util.SplittableRandom;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicyActions;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicySettings;

/**
 * What all parts of one {@link GatekeeperPolicy} share: the settings, the only source of randomness, and the event
 * that is being handled. Owned by the thread that handles events.
 */
final class PolicyContext {
    /** Microseconds in a second, as the divisor of rates. */
    static final double MICROS_PER_SECOND = 1e6;

    final PolicySettings settings;
    final SplittableRandom random;
    /** When the first event came, in microseconds; -1 before it. */
    long startedAt = -1;
    /** The time of the event that is being handled, in microseconds. */
    long now;
    /** Where the decisions on that event go. */
    PolicyActions actions;

    PolicyContext(PolicySettings settings, long seed) {
        this.settings = settings;
        random = new SplittableRandom(seed);
    }
}
