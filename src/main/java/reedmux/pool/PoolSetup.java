package reedmux.pool;

import reedmux.config.Service;

/**
 * How one pool is set up.
 *
 * @param name     its service's name, the same at all gatekeepers
 * @param weight   its part of what is shared, against the other pools' weights; above nought
 * @param queued   most of its requests and ends of calls that may wait for the one thread
 * @param most     bounds on its own, beside its part
 * @param hostless whether it serves requests without {@code Host}
 */
public record PoolSetup(
        String name, Service service, double weight, int queued, Admission.Most most, boolean hostless) {
    /** The pool of the platform's own service. */
    public static final String DEFAULT = "default";
    /** Pieces that may wait where nothing is set. */
    public static final int QUEUED = 1_024;

    /** The platform's own service, where the operators have set nothing of it. */
    public static PoolSetup alone(Service service) {
        return new PoolSetup(DEFAULT, service, 1, QUEUED, new Admission.Most(Integer.MAX_VALUE, Long.MAX_VALUE), true);
    }
}
