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
import reedmux.config.Config;
import reedmux.core.Clock;
import reedmux.core.Event;
import reedmux.core.InvokerCall;
import reedmux.core.RegionDesk;
import reedmux.http.Acceptor;
import reedmux.http.Calls;
import reedmux.http.ConsumerServer;
import reedmux.http.RegionClient;
import reedmux.http.RegionFront;
import reedmux.operator.LifeCycle;
import reedmux.policy.Gateway.RequestClass;
import reedmux.region.Departure;
import reedmux.region.RegionRules;
import reedmux.region.Regions;
import reedmux.settings.OperatorSettings.Region;

/**
 * A gatekeeper's link to other regions: a listener of its own for what they send, and connections of its own
 * for what goes there, so that neither takes descriptors from consumers or providers.
 */
final class RegionLink {
    /** Half of the time after which the other side closes idle connections, in microseconds. */
    private static final long MOST_IDLE = TimeUnit.MILLISECONDS.toMicros(7_500);
    /** Between lines in the log, while there is news. */
    private static final long TELL = TimeUnit.SECONDS.toMicros(10);

    private final Region settings;
    private final Consumer<String> log;
    private final ConsumerServer server;
    private final RegionDesk desk;
    private Calls calls;
    private RegionClient client;
    private Acceptor listener;
    private volatile int port = -1;
    private String told = "";
    private long toldAt;

    RegionLink(
            Region settings,
            Config config,
            Clock clock,
            Consumer<Event> events,
            BooleanSupplier ready,
            LifeCycle life,
            Consumer<String> log) {
        this.settings = settings;
        this.log = log;
        server = new ConsumerServer(
                new RegionFront(config.settings(), clock, events), ready, life, settings.connectionsIn());
        desk = new RegionDesk(
                new Regions(settings.rules(), config.settings().groupSize(), clock.now(), config.seed()),
                settings.gateways(),
                config.settings().classes().stream()
                        .mapToLong(RequestClass::aim)
                        .toArray());
    }

    /** Makes the calls' side, once there is a reactor. */
    void connect(DefaultListeningIOReactor reactor, Config config, Clock clock, Consumer<Event> events) {
        calls = new Calls(reactor, clock, Calls.Room.of(settings.connectionsOut()), MOST_IDLE);
        client = new RegionClient(
                calls, events, config.settings(), settings.rules().name());
    }

    void listen(DefaultListeningIOReactor reactor, boolean shared) throws IOException {
        if (settings.listen() == null) {
            return;
        }
        try {
            listener = new Acceptor(settings.listen(), shared, reactor, server.room(), log);
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

    RegionDesk desk() {
        return desk;
    }

    void call(InvokerCall call, Departure departure) {
        client.call(call, departure);
    }

    /** What a reload sets now, as an event; what takes a restart is told in the log. */
    Event reload(Region now) {
        if (now == null) {
            // All that is out comes back, nothing more goes or comes in; the listener stays until a restart.
            return new Event.RegionsTold(
                    new RegionRules(
                            settings.rules().name(), Set.of(), settings.rules().visitors(), null),
                    Map.of());
        }
        if (!settings.fixedAtStart(now).isEmpty()) {
            log.accept("settings: a change takes a restart: " + String.join(", ", settings.fixedAtStart(now)));
        }
        RegionRules rules = now.rules();
        return new Event.RegionsTold(
                new RegionRules(settings.rules().name(), rules.takesFrom(), rules.visitors(), rules.away()),
                now.gateways());
    }

    /** Closes what has been idle for too long, and tells what has happened; on the reducer's thread. */
    void sweep(long now) {
        calls.sweep();
        server.sweep();
        if (now - toldAt >= TELL) {
            toldAt = now;
            tell();
        }
    }

    void tell() {
        String counts = desk.regions().counts();
        if (!counts.equals(told)) {
            told = counts;
            log.accept("regions: " + counts + "; now away " + desk.regions().away() + ", visitors "
                    + desk.regions().here() + ", link " + desk.regions().linkTime() / 1000 + " ms");
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
