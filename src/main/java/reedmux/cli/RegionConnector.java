package reedmux.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.apache.hc.core5.reactor.DefaultListeningIOReactor;
import reedmux.common.time.MonotonicClock;
import reedmux.gatekeeper.admin.LifeCycle;
import reedmux.gatekeeper.config.GatekeeperConfig;
import reedmux.gatekeeper.failover.FailoverPolicy;
import reedmux.gatekeeper.failover.FailoverRules;
import reedmux.gatekeeper.failover.ForwardedRequest;
import reedmux.gatekeeper.http.ConnectionAcceptor;
import reedmux.gatekeeper.http.ConsumerServer;
import reedmux.gatekeeper.http.RegionClient;
import reedmux.gatekeeper.http.RegionFrontend;
import reedmux.gatekeeper.http.UpstreamConnectionPool;
import reedmux.gatekeeper.policy.TrafficPolicy.RequestClass;
import reedmux.gatekeeper.reducer.ReducerEvent;
import reedmux.gatekeeper.reducer.RegionCoordinator;
import reedmux.gatekeeper.reducer.UpstreamCall;
import reedmux.gatekeeper.settings.RegionSettings;

/**
 * A gatekeeper's link to other regions: a listener of its own for what they send, and connections of its own
 * for what goes there, so that neither takes descriptors from consumers or providers.
 */
final class RegionConnector {
    /** Half of the time after which the other side closes idle connections, in microseconds. */
    private static final long MAX_IDLE_MICROS = TimeUnit.MILLISECONDS.toMicros(7_500);
    /** Between lines in the log, while there is news. */
    private static final long REPORT_INTERVAL_MICROS = TimeUnit.SECONDS.toMicros(10);

    private final RegionSettings settings;
    private final Consumer<String> log;
    private final ConsumerServer server;
    private final RegionCoordinator desk;
    private UpstreamConnectionPool httpClient;
    private RegionClient regionClient;
    private ConnectionAcceptor listener;
    private volatile int port = -1;
    private String lastReport = "";
    private long lastReportAt;

    RegionConnector(
            RegionSettings settings,
            GatekeeperConfig config,
            MonotonicClock clock,
            Consumer<ReducerEvent> events,
            BooleanSupplier ready,
            LifeCycle life,
            Consumer<String> log) {
        this.settings = settings;
        this.log = log;
        server = new ConsumerServer(
                new RegionFrontend(config.settings(), clock, events), ready, life, settings.maxInboundConnections());
        desk = new RegionCoordinator(
                new FailoverPolicy(settings.rules(), config.settings().groupSize(), clock.now(), config.seed()),
                settings.gateways(),
                config.settings().classes().stream()
                        .mapToLong(RequestClass::latencyTarget)
                        .toArray());
    }

    /** Makes the calls' side, once there is a reactor. */
    void connect(
            DefaultListeningIOReactor reactor,
            GatekeeperConfig config,
            MonotonicClock clock,
            Consumer<ReducerEvent> events) {
        httpClient = new UpstreamConnectionPool(
                reactor,
                clock,
                UpstreamConnectionPool.ConnectionPermits.fixed(settings.maxOutboundConnections()),
                MAX_IDLE_MICROS);
        regionClient = new RegionClient(
                httpClient, events, config.settings(), settings.rules().name());
    }

    void listen(DefaultListeningIOReactor reactor, boolean shared) throws IOException {
        if (settings.listen() == null) {
            return;
        }
        try {
            listener = new ConnectionAcceptor(settings.listen(), shared, reactor, server.connectionPermits(), log);
        } catch (IOException e) {
            throw new IOException("cannot listen for regions on " + settings.listen() + ": " + e.getMessage());
        }
        port = ((InetSocketAddress) listener.address()).getPort();
    }

    /** Where other regions connect, or null where they may not. */
    InetSocketAddress address() throws IOException {
        return listener == null ? null : (InetSocketAddress) listener.address();
    }

    /** Whose connection it is that was accepted at this address of ours. */
    ConsumerServer serverOf(SocketAddress local, ConsumerServer consumers) {
        return local instanceof InetSocketAddress address && address.getPort() == port ? server : consumers;
    }

    RegionCoordinator desk() {
        return desk;
    }

    void call(UpstreamCall call, ForwardedRequest departure) {
        regionClient.call(call, departure);
    }

    /** What a reload sets now, as an event; what takes a restart is told in the log. */
    ReducerEvent reload(RegionSettings now) {
        if (now == null) {
            // All that is out comes back, nothing more goes or comes in; the listener stays until a restart.
            return new ReducerEvent.RegionRulesUpdated(
                    new FailoverRules(
                            settings.rules().name(), Set.of(), settings.rules().remoteLimits(), null),
                    Map.of());
        }
        if (!settings.fixedAtStart(now).isEmpty()) {
            log.accept("settings: a change takes a restart: " + String.join(", ", settings.fixedAtStart(now)));
        }
        FailoverRules rules = now.rules();
        return new ReducerEvent.RegionRulesUpdated(
                new FailoverRules(settings.rules().name(), rules.acceptsFrom(), rules.remoteLimits(), rules.target()),
                now.gateways());
    }

    /** Closes what has been idle for too long, and tells what has happened; on the reducer's thread. */
    void sweep(long now) {
        httpClient.sweep();
        server.sweep();
        if (now - lastReportAt >= REPORT_INTERVAL_MICROS) {
            lastReportAt = now;
            logReport();
        }
    }

    void logReport() {
        String counts = desk.regions().summary();
        if (!counts.equals(lastReport)) {
            lastReport = counts;
            log.accept("regions: " + counts + "; now away " + desk.regions().forwardedInFlight() + ", visitors "
                    + desk.regions().remoteInFlight() + ", link "
                    + desk.regions().linkLatencyMicros() / 1000 + " ms");
        }
    }

    void stopListening() {
        if (listener != null) {
            listener.close();
        }
    }

    void close() {
        if (listener != null) {
            listener.close();
        }
    }
}
