package reedmux.gatekeeper.service;

import reedmux.gatekeeper.config.ServiceConfig;

/**
 * The configuration of one service and its share of the common capacity.
 *
 * @param name              name of the service, which is the same at all gatekeepers
 * @param service           configuration of the service
 * @param weight            positive weight that determines its share of the common capacity, relative to the other
 *                          weights
 * @param maxQueued         maximum number of events that may wait for the event loop
 * @param limits            limits of this service in addition to its share
 * @param servesWithoutHost whether it accepts requests without a {@code Host} header
 */
public record ServiceSetup(
        String name,
        ServiceConfig service,
        double weight,
        int maxQueued,
        AdmissionControl.AdmissionLimits limits,
        boolean servesWithoutHost) {
    /** Name of the default service, which is the platform's own. */
    public static final String DEFAULT_SERVICE = "default";
    /** Default for the maximum number of events that may wait for the event loop. */
    public static final int DEFAULT_MAX_QUEUED = 1_024;

    /** Returns the setup of the default service for a configuration that defines no services. */
    public static ServiceSetup onlyService(ServiceConfig service) {
        return new ServiceSetup(
                DEFAULT_SERVICE, service, 1, DEFAULT_MAX_QUEUED, AdmissionControl.AdmissionLimits.UNLIMITED, true);
    }
}
