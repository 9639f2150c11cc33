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
 * A gatekeeper's connections with other regions: an acceptor for the requests that they forward, and a connection pool
 * for the requests that are forwarded to them. Both have their own limits of file descriptors, so that failover uses
 * none that are reserved for consumers or providers.
 */
final class RegionConnector {
    /** Half of the idle timeout after which the other region closes a connection. */
    private static final long MAX_IDLE_MICROS = TimeUnit.MILLISECONDS.toMicros(7_500);
    /** The minimum interval between two reports in the log; a report is written only if the counts have changed. */
    private static final long REPORT_INTERVAL_MICROS = TimeUnit.SECONDS.toMicros(10);

    private final RegionSettings settings;
    private final Consumer<String> log;
    private final ConsumerServer server;
    private final RegionCoordinator coordinator;
    private UpstreamConnectionPool connectionPool;
    private RegionClient regionClient;
    private ConnectionAcceptor acceptor;
    private volatile int port = -1;
    private String lastReport = "";
    private long lastReportAt;

    RegionConnector(
            RegionSettings settings,
            GatekeeperConfig config,
            MonotonicClock clock,
            Consumer<ReducerEvent> events,
            BooleanSupplier ready,
            LifeCycle lifeCycle,
            Consumer<String> log) {
        this.settings = settings;
        this.log = log;
        server = new ConsumerServer(
                new RegionFrontend(config.settings(), clock, events),
                ready,
                lifeCycle,
                settings.maxInboundConnections());
        coordinator = new RegionCoordinator(
                new FailoverPolicy(settings.rules(), config.settings().groupSize(), clock.now(), config.seed()),
                settings.gateways(),
                config.settings().classes().stream()
                        .mapToLong(RequestClass::latencyTarget)
                        .toArray());
    }

    /** Creates the outbound connection pool; must be called once, after the reactor has been created. */
    void connect(
            DefaultListeningIOReactor reactor,
            GatekeeperConfig config,
            MonotonicClock clock,
            Consumer<ReducerEvent> events) {
        connectionPool = new UpstreamConnectionPool(
                reactor,
                clock,
                UpstreamConnectionPool.ConnectionPermits.fixed(settings.maxOutboundConnections()),
                MAX_IDLE_MICROS);
        regionClient = new RegionClient(
                connectionPool, events, config.settings(), settings.rules().name());
    }

    /**
     * Accepts connections from other regions if an address is configured for them.
     *
     * @param shared whether another process of this gatekeeper may listen on the same address
     */
    void listen(DefaultListeningIOReactor reactor, boolean shared) throws IOException {
        if (settings.listen() == null) {
            return;
        }
        try {
            acceptor = new ConnectionAcceptor(settings.listen(), shared, reactor, server.connectionPermits(), log);
        } catch (IOException e) {
            throw new IOException("cannot listen for regions on " + settings.listen() + ": " + e.getMessage());
        }
        port = ((InetSocketAddress) acceptor.address()).getPort();
    }

    /** Returns the address to which other regions connect, or null if none is bound. */
    InetSocketAddress address() throws IOException {
        return acceptor == null ? null : (InetSocketAddress) acceptor.address();
    }

    /** Returns the server for connections accepted at a local address: the one for regions or the one for consumers. */
    ConsumerServer serverOf(SocketAddress local, ConsumerServer consumers) {
        return local instanceof InetSocketAddress address && address.getPort() == port ? server : consumers;
    }

    /** Returns the coordinator, which decides which requests are forwarded to and accepted from other regions. */
    RegionCoordinator coordinator() {
        return coordinator;
    }

    /** Forwards a request to another region. */
    void call(UpstreamCall call, ForwardedRequest request) {
        regionClient.call(call, request);
    }

    /**
     * Returns the event that applies changed settings in the reducer. Changes that require a restart are logged.
     *
     * @param newSettings the new settings, or null if the operators have removed the region
     */
    ReducerEvent reload(RegionSettings newSettings) {
        if (newSettings == null) {
            // Requests in flight to other regions still complete, but no further ones are forwarded or accepted. The
            // acceptor stays open.
            return new ReducerEvent.RegionRulesUpdated(
                    new FailoverRules(
                            settings.rules().name(), Set.of(), settings.rules().remoteLimits(), null),
                    Map.of());
        }
        if (!settings.keysRequiringRestart(newSettings).isEmpty()) {
            log.accept("settings: a change takes a restart: "
                    + String.join(", ", settings.keysRequiringRestart(newSettings)));
        }
        FailoverRules rules = newSettings.rules();
        return new ReducerEvent.RegionRulesUpdated(
                new FailoverRules(settings.rules().name(), rules.acceptsFrom(), rules.remoteLimits(), rules.target()),
                newSettings.gateways());
    }

    /** Closes idle connections and reports the counts; must be called on the reducer's thread. */
    void sweep(long now) {
        connectionPool.sweep();
        server.sweep();
        if (now - lastReportAt >= REPORT_INTERVAL_MICROS) {
            lastReportAt = now;
            logReport();
        }
    }

    /** Logs the counts if they have changed since the last report. */
    void logReport() {
        String counts = coordinator.failoverPolicy().summary();
        if (!counts.equals(lastReport)) {
            lastReport = counts;
            log.accept("regions: " + counts + "; now away "
                    + coordinator.failoverPolicy().forwardedInFlight() + ", visitors "
                    + coordinator.failoverPolicy().remoteInFlight() + ", link "
                    + coordinator.failoverPolicy().linkLatencyMicros() / 1000 + " ms");
        }
    }

    /** Stops accepting connections; established connections stay open. */
    void close() {
        if (acceptor != null) {
            acceptor.close();
        }
    }
}
