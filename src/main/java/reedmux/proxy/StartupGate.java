package reedmux.proxy;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import reedmux.common.eventloop.Reactor;
import reedmux.common.http1.Http1Head;
import reedmux.proxy.loadbalancer.LoadBalancer;

/**
 * Decides whether requests can be served during startup, and defers requests that are received shortly before they can.
 * Without a configuration or without checkers, no request is served. With a configuration that was not confirmed by a
 * quorum, requests are served after a delay; with a confirmed configuration, they are served at once.
 *
 * <p>Not thread-safe; used on the reactor's thread only.
 */
final class StartupGate {
    private static final long MICROS_PER_SECOND = 1_000_000;
    /**
     * Time after the start from which on an unconfirmed configuration is served, so that an outage of the core does not
     * prevent a restarted proxy from serving.
     */
    private static final long UNCONFIRMED_CONFIGURATION_DELAY_MICROS = 4 * MICROS_PER_SECOND;
    /** Time after the start within which a proxy can usually serve requests. */
    private static final long TYPICAL_STARTUP_MICROS = MICROS_PER_SECOND / 5;
    /**
     * Time after the start from which on requests are rejected at once instead of being deferred, because a startup
     * that takes this long is not a usual one.
     */
    private static final long MAX_DEFERRAL_PERIOD_MICROS = 2 * MICROS_PER_SECOND;
    /** Divisor of the time left of a request; the quotient is the time for which it is deferred, up to the maximum. */
    private static final int DEFERRAL_TIME_DIVISOR = 8;

    private static final long MAX_DEFERRAL_MICROS = MICROS_PER_SECOND / 4;
    private static final int MAX_DEFERRED_CLIENTS = 256;

    private final Reactor reactor;
    private final ControlPlaneClient controlPlane;
    private final LoadBalancer loadBalancer;
    private final long startedAt;
    private final Set<ClientConnection> deferredClients = new LinkedHashSet<>();

    StartupGate(Reactor reactor, ControlPlaneClient controlPlane, LoadBalancer loadBalancer, long startedAt) {
        this.reactor = reactor;
        this.controlPlane = controlPlane;
        this.loadBalancer = loadBalancer;
        this.startedAt = startedAt;
    }

    /** Returns whether requests can be admitted and dispatched. */
    boolean canServe() {
        return controlPlane.table() != null
                && !loadBalancer.isEmpty()
                && (controlPlane.isConfigurationCurrent()
                        || reactor.now() - startedAt > UNCONFIRMED_CONFIGURATION_DELAY_MICROS);
    }

    /**
     * Returns the expected time until requests can be served, in microseconds; negative if the expected time has
     * passed.
     */
    long expectedRemainingMicros() {
        return startedAt + TYPICAL_STARTUP_MICROS - reactor.now();
    }

    /**
     * Defers a request if the startup is expected to complete while it waits. The request is resumed when the startup
     * completes, or when its waiting time has passed.
     *
     * @return whether the request is deferred
     */
    boolean defer(ClientConnection client, Http1Head head) {
        if (canServe()) {
            return false;
        }
        long now = reactor.now();
        long deferralMicros =
                Math.min(MAX_DEFERRAL_MICROS, RequestAdmission.timeLeftMillis(head) * 1000 / DEFERRAL_TIME_DIVISOR);
        if (now + deferralMicros < startedAt + TYPICAL_STARTUP_MICROS
                || now > startedAt + MAX_DEFERRAL_PERIOD_MICROS
                || deferredClients.size() >= MAX_DEFERRED_CLIENTS) {
            return false;
        }
        deferredClients.add(client);
        reactor.scheduleAfter(deferralMicros, () -> {
            if (deferredClients.remove(client)) {
                client.resumeDeferred();
            }
        });
        return true;
    }

    /** Resumes the deferred requests if they can be served now. */
    void resumeIfStarted() {
        if (!deferredClients.isEmpty() && canServe()) {
            List<ClientConnection> resumedClients = List.copyOf(deferredClients);
            deferredClients.clear();
            resumedClients.forEach(ClientConnection::resumeDeferred);
        }
    }

    void onClientClosed(ClientConnection client) {
        deferredClients.remove(client);
    }
}
