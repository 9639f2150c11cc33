package reedmux.gatekeeper.service;

import reedmux.gatekeeper.config.ServiceConfig;

/**
 * How one pool is set up.
 *
 * @param name     its service's name, the same at all gatekeepers
 * @param weight   its part of what is shared, against the other pools' weights; above nought
 * @param queued   most of its requests and ends of calls that may wait for the one thread
 * @param most     bounds on its own, beside its part
 * @param hostless whether it serves requests without {@code Host}
 */
public record ServiceSetup(
        String name,
        ServiceConfig service,
        double weight,
        int maxQueued,
        AdmissionControl.AdmissionLimits limits,
        boolean servesWithoutHost) {
    /** The pool of the platform's own service. */
    public static final String DEFAULT_SERVICE = "default";
    /** Pieces that may wait where nothing is set. */
    public static final int DEFAULT_MAX_QUEUED = 1_024;

    /** The platform's own service, where the operators have set nothing of it. */
    public static ServiceSetup onlyService(ServiceConfig service) {
        return new ServiceSetup(
                DEFAULT_SERVICE,
                service,
                1,
                DEFAULT_MAX_QUEUED,
                new AdmissionControl.AdmissionLimits(Integer.MAX_VALUE, Long.MAX_VALUE),
                true);
    }
}
