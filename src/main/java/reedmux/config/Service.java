package reedmux.config;

import java.net.InetSocketAddress;
import reedmux.core.ProviderList;
import reedmux.policy.Gateway.Limits;
import reedmux.policy.Gateway.Settings;

/**
 * What the gatekeeper is told of one service: its classes, plans and rules, where its providers are told of,
 * which were known last, and the times of its connections in microseconds.
 *
 * @param form whatever else tells one from another, such as how its provider lists are read
 */
public record Service(
        Settings settings,
        InetSocketAddress discovery,
        ProviderList known,
        ProviderListReader lists,
        long connectTimeout,
        long connIdle,
        String form) {

    /** The same with messages to peers that leave room for so many bytes more. */
    public Service withLess(int bytes) {
        Limits old = settings.limits();
        Limits limits = new Limits(
                old.cancel(),
                old.secondCopies(),
                old.probes(),
                old.peers(),
                old.counter(),
                old.maxAttempts(),
                old.maxRetryAfter(),
                old.peerMessagesPerS(),
                old.peerBytes() - bytes,
                old.counterTimeout());
        return new Service(
                new Settings(
                        settings.self(),
                        settings.groupSize(),
                        settings.zone(),
                        settings.askDiscovery(),
                        settings.unitsWhenWhole(),
                        settings.mostUnits(),
                        settings.tick(),
                        settings.classes(),
                        settings.plans(),
                        settings.rules(),
                        limits),
                discovery,
                known,
                lists,
                connectTimeout,
                connIdle,
                form);
    }

    /** Whether a module that was made for the other serves this one too, with all that it has counted. */
    public boolean sameRules(Service other) {
        return settings.equals(other.settings)
                && connectTimeout == other.connectTimeout
                && connIdle == other.connIdle
                && form.equals(other.form);
    }
}
