package reedmux.gatekeeper.service;

import reedmux.gatekeeper.config.ServiceConfig;

/**
 * How one service is set up.
 *
 * @param name              the same at all gatekeepers
 * @param weight            its share of what the services share, relative to the others' weights; positive
 * @param maxQueued         events that may wait for the event loop
 * @param limits            its own limits, besides its share
 * @param servesWithoutHost whether it serves requests without {@code Host}
 */
public record ServiceSetup(
        String name,
        ServiceConfig service,
        double weight,
        int maxQueued,
        AdmissionControl.AdmissionLimits limits,
        boolean servesWithoutHost) {
    /** The name of the platform's own service. */
    public static final String DEFAULT_SERVICE = "default";
    /** Events that may wait where nothing is set. */
    public static final int DEFAULT_MAX_QUEUED = 1_024;

    /** The platform's own service if the operators have set nothing about services. */
    public static ServiceSetup onlyService(ServiceConfig service) {
        return new ServiceSetup(
                DEFAULT_SERVICE, service, 1, DEFAULT_MAX_QUEUED, AdmissionControl.AdmissionLimits.UNLIMITED, true);
    }
}
