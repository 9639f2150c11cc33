package reedmux.gatekeeper.config;

import java.net.InetSocketAddress;
import reedmux.gatekeeper.policy.TrafficPolicy.DeploymentLimits;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicySettings;
import reedmux.gatekeeper.reducer.ProviderList;

/**
 * What the gatekeeper is told of one service: its classes, plans and rules, where its providers are told of,
 * which were known last, and the times of its connections in microseconds.
 *
 * @param form whatever else tells one from another, such as how its provider lists are read
 */
public record ServiceConfig(
        PolicySettings settings,
        InetSocketAddress discovery,
        ProviderList knownProviders,
        ProviderListReader providerListReader,
        long connectTimeoutMicros,
        long connectionIdleMicros,
        String listFormat) {

    /** The same with messages to peers that leave room for so many bytes more. */
    public ServiceConfig withSmallerPeerMessages(int bytes) {
        DeploymentLimits old = settings.limits();
        DeploymentLimits limits = new DeploymentLimits(
                old.cancellation(),
                old.hedging(),
                old.healthChecks(),
                old.peerMessages(),
                old.counterService(),
                old.maxAttempts(),
                old.maxRetryAfter(),
                old.peerMessagesPerSecond(),
                old.peerMessageBytes() - bytes,
                old.counterTimeout());
        return new ServiceConfig(
                new PolicySettings(
                        settings.self(),
                        settings.groupSize(),
                        settings.zone(),
                        settings.pollsDiscovery(),
                        settings.chargeOnDelivery(),
                        settings.maxUnits(),
                        settings.clockTick(),
                        settings.classes(),
                        settings.plans(),
                        settings.rules(),
                        limits),
                discovery,
                knownProviders,
                providerListReader,
                connectTimeoutMicros,
                connectionIdleMicros,
                listFormat);
    }

    /** Whether a module that was made for the other serves this one too, with all that it has counted. */
    public boolean hasSameRules(ServiceConfig other) {
        return settings.equals(other.settings)
                && connectTimeoutMicros == other.connectTimeoutMicros
                && connectionIdleMicros == other.connectionIdleMicros
                && listFormat.equals(other.listFormat);
    }
}
