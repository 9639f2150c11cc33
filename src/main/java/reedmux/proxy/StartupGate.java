package reedmux.proxy;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import reedmux.common.eventloop.Reactor;
import reedmux.common.http1.Http1Head;
import reedmux.proxy.loadbalancer.LoadBalancer;

/**
 * Says whether requests can be served yet, and holds those that come shortly before that. A start has three states:
 * without configuration or checkers nothing is served; with a configuration that no quorum has confirmed requests are
 * served after a while; with a confirmed one, at once. For the reactor's thread.
 */
final class StartupGate {
    private static final long MICROS_PER_SECOND = 1_000_000;
    /** After this time a configuration that no store has confirmed is served, so that an outage of the core is none. */
    private static final long UNCONFIRMED_CONFIGURATION_DELAY_MICROS = 4 * MICROS_PER_SECOND;
    /** Within this time a start has usually come so far that requests can be served. */
    private static final long TYPICAL_STARTUP_MICROS = MICROS_PER_SECOND / 5;
    /** After this time a start is no usual one, and requests are rejected at once. */
    private static final long MAX_DEFERRAL_PERIOD_MICROS = 2 * MICROS_PER_SECOND;
    /** A request waits for the start this part of the time that it has left, and at most the limit. */
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

    /** Whether requests can be admitted and dispatched. */
    boolean canServe() {
        return controlPlane.table() != null
                && !loadBalancer.isEmpty()
                && (controlPlane.isConfigurationCurrent()
                        || reactor.now() - startedAt > UNCONFIRMED_CONFIGURATION_DELAY_MICROS);
    }

    /** How long until requests can probably be served, in microseconds; below zero once that time is over. */
    long expectedRemainingMicros() {
        return startedAt + TYPICAL_STARTUP_MICROS - reactor.now();
    }

    /**
     * Holds a request if the start will probably end in time for it. It is resumed at the end of the start, or when
     * its wait is over.
     *
     * @return whether it is held
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

    /** Resumes the requests that are held, if they can be served now. */
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
