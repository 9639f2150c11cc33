package reedmux.gatekeeper.config;

import java.net.InetSocketAddress;
import reedmux.gatekeeper.policy.TrafficPolicy.DeploymentLimits;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicySettings;
import reedmux.gatekeeper.reducer.ProviderList;

/**
 * The configuration of one service.
 *
 * @param settings             its request classes, plans and rules
 * @param discovery            the address from which the list of its providers is requested
 * @param knownProviders       the providers of the last list before the start
 * @param connectTimeoutMicros the timeout for connecting to a provider, in microseconds
 * @param connectionIdleMicros how long its providers keep idle connections open, in microseconds
 * @param listFormat           the zones and kinds of its provider lists; empty if they are the platform's
 */
public record ServiceConfig(
        PolicySettings settings,
        InetSocketAddress discovery,
        ProviderList knownProviders,
        ProviderListReader providerListReader,
        long connectTimeoutMicros,
        long connectionIdleMicros,
        String listFormat) {

    /** Returns a copy whose peer messages are smaller by {@code bytes}, which reserves space for a tag. */
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

    /** Whether a policy created for the other configuration can keep running, with its counters, under this one. */
    public boolean hasSameRules(ServiceConfig other) {
        return settings.equals(other.settings)
                && connectTimeoutMicros == other.connectTimeoutMicros
                && connectionIdleMicros == other.connectionIdleMicros
                && listFormat.equals(other.listFormat);
    }
}
