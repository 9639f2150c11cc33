package reedmux.proxy;

import java.io.IOException;
import java.util.List;
import reedmux.common.eventloop.Connection;
import reedmux.common.eventloop.Reactor;
import reedmux.common.eventloop.TcpListener;
import reedmux.common.http1.Http1ServerConnection;
import reedmux.common.settings.ProcessSettings;
import reedmux.common.settings.ProcessSettingsException;
import reedmux.common.settings.Program;
import reedmux.common.settings.SettingKeys;
import reedmux.control.rpc.MessageCodec;
import reedmux.control.session.SessionView;
import reedmux.proxy.loadbalancer.LoadBalancer;
import reedmux.proxy.quota.QuotaTracker;
import reedmux.proxy.request.ProxyRequest;
import reedmux.proxy.request.ProxyResponse;
import reedmux.proxy.request.RequestAttempt;
import reedmux.proxy.request.RequestEvent;
import reedmux.proxy.request.RequestPort;
import reedmux.proxy.request.RequestTracker;
import reedmux.proxy.retry.RetryBudget;

/**
 * The proxy process. It creates and connects its components, performs the actions that the {@link RequestTracker}
 * requests, and manages the life cycle, whose states are starting, ready, and draining until the process terminates.
 *
 * <p>A request is read by {@link ClientConnection} and admitted by {@link RequestAdmission}. The tracker selects a
 * checker with the {@link LoadBalancer}, {@link CheckerConnectionPool} sends the request to it, and the response is
 * returned on the connection of the client. The {@link ControlPlaneClient} supplies the configuration and the
 * membership for all of this.
 *
 * <p>Not thread-safe; everything runs on the reactor's thread.
 */
public final class Proxy implements Program, RequestPort, ControlPlaneClient.ControlPlaneListener {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long MAINTENANCE_INTERVAL_MICROS = MICROS_PER_SECOND / 4;
    /**
     * Time between two maintenance runs above which the process is considered stalled. Timeouts of clients are then
     * skipped once, because input that arrived in the meantime has not been read yet.
     */
    private static final long STALL_THRESHOLD_MICROS = MICROS_PER_SECOND;
    /**
     * File descriptors reserved for everything but clients: connections to checkers and the control plane, and files.
     */
    private static final int RESERVED_DESCRIPTORS = 400;

    private static final int MIN_CLIENTS = 64;
    private static final int DEFAULT_DESCRIPTOR_LIMIT = 1024;
    private static final long DEFAULT_GRACE_SECONDS = 6;
    private static final double DEFAULT_RETRY_RATIO = 0.1;
    private static final double DEFAULT_RETRY_SLACK = 10;

    private final String nodeName;
    private final Reactor reactor;
    private final TcpListener clientListener;
    private final ControlPlaneClient controlPlane;
    private final LoadBalancer loadBalancer;
    private final QuotaTracker quotas;
    private final QuotaExchange quotaExchange;
    private final RetryBudget retryBudget;
    private final RequestTracker tracker;
    private final CheckerConnectionPool checkerConnections;
    private final StartupGate startupGate;
    private final RequestAdmission admission;
    private final ClientFrontend clients;
    private final GracefulShutdown shutdown;
    private final long startedAt;
    private SessionView sessionView = SessionView.of(List.of());
    private long lastMaintenanceAt;
    private boolean ready;

    /**
     * Starts a proxy on a reactor.
     *
     * @throws ProcessSettingsException if a setting is not valid
     * @throws IOException              if a socket cannot be opened
     */
    public Proxy(ProcessSettings settings, Reactor reactor) throws ProcessSettingsException, IOException {
        this.reactor = reactor;
        nodeName = settings.node();
        // Opened before all else, so that clients of a restarted proxy wait instead of having their connections
        // refused.
        clientListener =
                new TcpListener(reactor, settings.socketAddress(SettingKeys.FRONT_SOCKET), this::onClientAccepted);
        new TcpListener(reactor, settings.socketAddress(SettingKeys.READY_SOCKET), this::onReadinessClientAccepted);
        startedAt = reactor.now();
        lastMaintenanceAt = startedAt;
        long incarnation = reactor.newIncarnationId() ^ (long) nodeName.hashCode() << 32;
        MessageCodec codec = new MessageCodec();
        loadBalancer = new LoadBalancer(nodeName, settings.zone(), incarnation);
        controlPlane = new ControlPlaneClient(settings, reactor, codec, loadBalancer, this, incarnation);
        quotas = new QuotaTracker(nodeName, incarnation, !settings.coldStart(), reactor.now());
        retryBudget = new RetryBudget(
                settings.number(SettingKeys.RETRY_RATIO, DEFAULT_RETRY_RATIO),
                settings.number(SettingKeys.RETRY_SLACK, DEFAULT_RETRY_SLACK),
                !settings.coldStart());
        tracker = new RequestTracker(this, loadBalancer, retryBudget, incarnation);
        checkerConnections = new CheckerConnectionPool(reactor, tracker);
        startupGate = new StartupGate(reactor, controlPlane, loadBalancer, startedAt);
        shutdown = new GracefulShutdown(
                settings.durationMicrosOfSeconds(SettingKeys.SHUTDOWN_GRACE_SECONDS, DEFAULT_GRACE_SECONDS));
        admission = new RequestAdmission(reactor, controlPlane, startupGate, shutdown, quotas);
        clients = new ClientFrontend(
                reactor, controlPlane, startupGate, admission, tracker, shutdown, maxClients(settings));
        controlPlane.connect();
        quotaExchange = new QuotaExchange(settings, reactor, codec, quotas, controlPlane);
        reactor.scheduleEvery(MAINTENANCE_INTERVAL_MICROS, this::runMaintenance);
        quotaExchange.sendUpdates();
    }

    private static int maxClients(ProcessSettings settings) throws ProcessSettingsException {
        int descriptorLimit = (int) settings.number(SettingKeys.DESCRIPTOR_LIMIT, DEFAULT_DESCRIPTOR_LIMIT);
        return Math.max(MIN_CLIENTS, descriptorLimit - RESERVED_DESCRIPTORS);
    }

    private void onClientAccepted(Connection connection) {
        clients.onAccepted(connection);
    }

    // ---- Control plane -----------------------------------------------------------------------------

    @Override
    public void onMembershipUpdate() {
        updateSessionView();
        tracker.onEvent(reactor.now(), new RequestEvent.CapacityAvailable());
    }

    @Override
    public void onUpdateProcessed() {
        startupGate.resumeIfStarted();
    }

    /** Passes a changed session view to all components that divide a resource among the proxies. */
    private void updateSessionView() {
        SessionView newView = controlPlane.sessionView();
        quotas.setRegistriesUnreachable(controlPlane.isIsolated());
        if (newView.digest() != sessionView.digest()) {
            reactor.debug(newView.size() + " members in the new session view, previously " + sessionView.size());
            sessionView = newView;
            quotaExchange.onViewChange(sessionView);
            loadBalancer.onViewChange(sessionView);
            retryBudget.setMemberCount(sessionView.size());
        }
    }

    // ---- Actions of the request tracker ------------------------------------------------------------

    @Override
    public void send(RequestAttempt attempt) {
        ClientRequest request = (ClientRequest) attempt.request().source();
        if (request.client().hasDisconnected(request)) {
            checkerConnections.reportUnsent(attempt);
        } else {
            checkerConnections.send(attempt);
        }
    }

    @Override
    public void cancel(RequestAttempt attempt) {
        checkerConnections.cancel(attempt);
    }

    @Override
    public void respond(ProxyRequest request, ProxyResponse response) {
        ClientRequest clientRequest = (ClientRequest) request.source();
        clientRequest.client().respond(clientRequest, response);
    }

    @Override
    public void refundQuota(ProxyRequest request) {
        admission.refund(request);
    }

    @Override
    public ScheduledEvent schedule(long at, RequestEvent event) {
        return reactor.scheduleAt(at, () -> tracker.onEvent(reactor.now(), event))::cancel;
    }

    // ---- Life cycle --------------------------------------------------------------------------------

    private void onReadinessClientAccepted(Connection connection) {
        new Http1ServerConnection(reactor, connection, this::respondToReadinessProbe);
    }

    private void respondToReadinessProbe(Http1ServerConnection.Http1Request request, Http1ServerConnection connection) {
        boolean knownPath = request.head().path().equals("/v1/readiness");
        boolean isReady = isReady();
        connection.respond(!knownPath ? 404 : isReady ? 200 : 503, isReady ? "ready" : "not ready");
    }

    /**
     * Returns whether load balancers should send clients to this proxy. It becomes ready as soon as the configuration
     * is current, a registry is connected, a checker is known and the session view contains this proxy; it remains
     * ready until the shutdown begins.
     */
    private boolean isReady() {
        if (shutdown.hasBegun()) {
            return false;
        }
        if (!ready) {
            ready = controlPlane.isConfigurationCurrent()
                    && controlPlane.isRegistryConnected()
                    && !loadBalancer.isEmpty()
                    && sessionView.indexOf(nodeName) >= 0;
            if (ready) {
                reactor.info("ready after " + (reactor.now() - startedAt) / 1000 + " ms, with " + loadBalancer.size()
                        + " checkers and " + sessionView.size() + " members");
            }
        }
        return ready;
    }

    private void runMaintenance() {
        updateSessionView();
        loadBalancer.updateUtilization();
        checkerConnections.closeUnusable();
        long now = reactor.now();
        boolean draining = shutdown.isDraining(now);
        boolean stalled = now - lastMaintenanceAt > STALL_THRESHOLD_MICROS;
        lastMaintenanceAt = now;
        if (!stalled) {
            clients.checkTimeouts(draining);
        }
        reactor.invariants()
                .check(
                        tracker.attempts().overdueCancellations(now).isEmpty(),
                        "a cancelled attempt ends within the maximum time",
                        () -> tracker.attempts().summary());
        if (draining && !clients.hasClients() && tracker.attempts().isEmpty()) {
            terminate();
        }
    }

    /**
     * Begins the shutdown that {@link GracefulShutdown} describes: readiness is withdrawn at once, the later phases are
     * scheduled.
     */
    @Override
    public void beginShutdown() {
        if (shutdown.hasBegun()) {
            return;
        }
        shutdown.begin(reactor.now());
        reactor.info("shutting down with " + clients.connectionCount() + " client connections and "
                + clients.unansweredRequests().size() + " unanswered requests");
        reactor.scheduleAt(shutdown.drainsAt(), this::drain);
        reactor.scheduleAt(shutdown.lastResponseAt(), this::completePendingRequests);
        reactor.scheduleAt(shutdown.endsAt(), this::terminate);
    }

    private void drain() {
        clientListener.close();
        clients.checkTimeouts(true);
    }

    private void completePendingRequests() {
        tracker.onEvent(reactor.now(), new RequestEvent.ProxyShutdown());
        clients.rejectUndispatched();
    }

    private void terminate() {
        List<GracefulShutdown.UnansweredRequest> unanswered = clients.unansweredRequests();
        reactor.info(shutdown.summary(reactor.now(), unanswered));
        reactor.info(tracker.attempts().summary());
        reactor.invariants()
                .check(
                        unanswered.isEmpty(),
                        "every request that was dispatched is answered before the process terminates",
                        () -> unanswered.toString());
        reactor.stop();
    }

    @Override
    public void reload(ProcessSettings newSettings) throws ProcessSettingsException {
        double retryRatio = newSettings.number(SettingKeys.RETRY_RATIO, DEFAULT_RETRY_RATIO);
        double retrySlack = newSettings.number(SettingKeys.RETRY_SLACK, DEFAULT_RETRY_SLACK);
        controlPlane.onSettingsChange(newSettings);
        retryBudget.setLimits(retryRatio, retrySlack);
    }
}
