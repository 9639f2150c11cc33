package reedmux.proxy;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import reedmux.common.eventloop.Connection;
import reedmux.common.eventloop.Reactor;
import reedmux.common.http1.Http1Head;
import reedmux.control.configuration.RequestLimits;
import reedmux.proxy.request.RequestEvent;
import reedmux.proxy.request.RequestTracker;

/**
 * Accepts the connections of clients, limits their number, enforces their timeouts, and passes their requests to {@link
 * RequestAdmission} and from there to the {@link RequestTracker}. Not thread-safe; used on the reactor's thread only.
 */
final class ClientFrontend implements ClientRequestHandler {
    /** Time after a change of the limits during which clients may still use the previous limits. */
    private static final long LIMITS_TRANSITION_MICROS = 5_000_000;
    /** A time later than every timeout, in microseconds. Timeouts that are checked at this time are expired. */
    private static final long FAR_FUTURE_MICROS = Long.MAX_VALUE / 2;

    private final Reactor reactor;
    private final ControlPlaneClient controlPlane;
    private final StartupGate startupGate;
    private final RequestAdmission admission;
    private final RequestTracker tracker;
    private final GracefulShutdown shutdown;
    private final int maxClients;
    private final Set<ClientConnection> clients = new LinkedHashSet<>();
    /** The limits that were configured last. */
    private RequestLimits configuredLimits;

    /** The limits that apply until the end of a transition; they allow what the previous or the new limits allow. */
    private RequestLimits transitionLimits;

    private long transitionEndsAt;

    ClientFrontend(
            Reactor reactor,
            ControlPlaneClient controlPlane,
            StartupGate startupGate,
            RequestAdmission admission,
            RequestTracker tracker,
            GracefulShutdown shutdown,
            int maxClients) {
        this.reactor = reactor;
        this.controlPlane = controlPlane;
        this.startupGate = startupGate;
        this.admission = admission;
        this.tracker = tracker;
        this.shutdown = shutdown;
        this.maxClients = maxClients;
    }

    /**
     * Serves an accepted connection. If there are too many connections, the oldest idle one is closed to make room; if
     * none is idle, the new one is closed.
     */
    void onAccepted(Connection connection) {
        if (clients.size() >= maxClients) {
            clients.stream()
                    .filter(ClientConnection::isIdle)
                    .findFirst()
                    .ifPresent(oldest -> oldest.checkTimeouts(FAR_FUTURE_MICROS, true));
        }
        if (clients.size() >= maxClients) {
            connection.close();
        } else {
            shutdown.onAccepted();
            clients.add(new ClientConnection(this, connection));
        }
    }

    boolean hasClients() {
        return !clients.isEmpty();
    }

    int connectionCount() {
        return clients.size();
    }

    /** Returns the requests that were dispatched to the tracker and have no response yet. */
    List<GracefulShutdown.UnansweredRequest> unansweredRequests() {
        List<GracefulShutdown.UnansweredRequest> unanswered = new ArrayList<>();
        for (ClientConnection client : clients) {
            if (client.awaitsResponse()) {
                unanswered.add(new GracefulShutdown.UnansweredRequest(client.headReceivedAt(), client.deadline()));
            }
        }
        return unanswered;
    }

    /** Closes the connections whose timeouts have expired, and all idle ones if {@code closeIdle}. */
    void checkTimeouts(boolean closeIdle) {
        for (ClientConnection client : List.copyOf(clients)) {
            client.checkTimeouts(reactor.now(), closeIdle);
        }
    }

    /** Rejects the requests that are still being received and of which nothing was forwarded. */
    void rejectUndispatched() {
        for (ClientConnection client : List.copyOf(clients)) {
            client.rejectUndispatched(RequestAdmission.shutdownRejection());
        }
    }

    @Override
    public long now() {
        return reactor.now();
    }

    @Override
    public void executeLater(Runnable task) {
        reactor.execute(task);
    }

    @Override
    public RequestLimits requestLimits() {
        RequestLimits currentLimits = controlPlane.table() == null
                ? RequestLimits.DEFAULTS
                : controlPlane.table().requestLimits();
        if (currentLimits != configuredLimits) {
            RequestLimits previousLimits = now() < transitionEndsAt ? transitionLimits : configuredLimits;
            transitionLimits = previousLimits == null ? currentLimits : previousLimits.mostPermissive(currentLimits);
            transitionEndsAt = now() + LIMITS_TRANSITION_MICROS;
            configuredLimits = currentLimits;
        }
        return now() < transitionEndsAt ? transitionLimits : currentLimits;
    }

    @Override
    public boolean isDraining() {
        return shutdown.hasBegun();
    }

    @Override
    public boolean deferUntilStarted(ClientConnection client, Http1Head head) {
        return startupGate.defer(client, head);
    }

    @Override
    public RequestAdmission.AdmissionResult admit(ClientConnection client, Http1Head head, ClientRequestBody body) {
        return admission.admit(client, head, body, requestLimits());
    }

    @Override
    public void dispatch(ClientRequest request) {
        tracker.onEvent(now(), new RequestEvent.RequestAccepted(request.proxyRequest()));
    }

    @Override
    public void onRequestAbandoned(ClientRequest request, boolean dispatched) {
        if (dispatched) {
            tracker.onEvent(now(), new RequestEvent.ClientDisconnected(request.proxyRequest()));
        } else {
            admission.refund(request.proxyRequest());
        }
    }

    @Override
    public void onClientClosed(ClientConnection client) {
        clients.remove(client);
        tracker.onEvent(now(), new RequestEvent.ClientConnectionClosed(client));
        startupGate.onClientClosed(client);
    }
}
