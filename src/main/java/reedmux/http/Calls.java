package reedmux.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.reactor.ConnectionInitiator;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import reedmux.core.CallResult;
import reedmux.core.CallResult.Stage;
import reedmux.core.Clock;

/**
 * Calls to providers and to discovery, over kept connections. Each call is written to one connection once;
 * nothing is ever sent again here, since every send is the module's decision.
 */
public final class Calls {
    private final ConnectionInitiator reactor;
    private final Clock clock;
    private final int mostConnections;
    private final long mostIdle;
    private final Map<InetSocketAddress, Deque<Connection>> idle = new HashMap<>();
    private int open;

    /** Connections idle for {@code mostIdle} microseconds are closed, and never used after that. */
    public Calls(ConnectionInitiator reactor, Clock clock, int mostConnections, long mostIdle) {
        this.reactor = reactor;
        this.clock = clock;
        this.mostConnections = mostConnections;
        this.mostIdle = mostIdle;
    }

    /** Starts a call; {@code done} hears of its end exactly once, on whatever thread that happens. */
    CallExchange start(InetSocketAddress to, OutgoingRequest request, Consumer<CallResult> done) {
        CallExchange exchange = new CallExchange(this, request, done);
        Connection kept = lease(to);
        if (kept != null) {
            exchange.run(kept);
        } else if (makeRoom()) {
            try {
                connect(to, exchange);
            } catch (RuntimeException e) { // the reactor has been shut down, as at the very end of leaving
                closed();
                exchange.end(new CallResult.Broken(Stage.CONNECTING, String.valueOf(e.getMessage())));
            }
        } else {
            exchange.end(new CallResult.Broken(Stage.CONNECTING, "all connections are in use"));
        }
        return exchange;
    }

    private void connect(InetSocketAddress to, CallExchange exchange) {
        Connection connection = new Connection(to, this::closed);
        Future<IOSession> future = reactor.connect(new HttpHost(to.getAddress(), to.getPort()), to, null,
                Timeout.DISABLED, connection, new FutureCallback<>() {
                    @Override
                    public void completed(IOSession session) {
                        exchange.run(connection);
                    }

                    @Override
                    public void failed(Exception cause) {
                        neverUp(connection, exchange, String.valueOf(cause.getMessage()));
                    }

                    @Override
                    public void cancelled() {
                        neverUp(connection, exchange, "given up");
                    }
                });
        exchange.connecting(future);
    }

    private void neverUp(Connection connection, CallExchange exchange, String reason) {
        if (connection.session() == null) {
            closed();
        }
        exchange.end(new CallResult.Broken(Stage.CONNECTING, reason));
    }

    private synchronized Connection lease(InetSocketAddress to) {
        Deque<Connection> kept = idle.get(to);
        long usable = clock.now() - mostIdle;
        while (kept != null && !kept.isEmpty()) {
            Connection connection = kept.pollLast();
            // One that is near the provider's own limit may be closed there while our request is on its
            // way; that would be a reset, and a call that must not run twice could not be made again.
            if (connection.isOpen() && connection.idleSince > usable) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    /** Counts one more connection; where too many are open, the one that is idle the longest goes. */
    private synchronized boolean makeRoom() {
        if (open >= mostConnections) {
            Deque<Connection> longest = null;
            for (Deque<Connection> kept : idle.values()) {
                if (!kept.isEmpty()
                        && (longest == null || kept.peek().idleSince < longest.peek().idleSince)) {
                    longest = kept;
                }
            }
            if (longest == null) {
                return false;
            }
            longest.poll().close();
        }
        open++;
        return true;
    }

    private synchronized void closed() {
        open--;
    }

    /** Keeps a connection whose answer has come in whole. */
    synchronized void release(Connection connection) {
        connection.idleSince = clock.now();
        idle.computeIfAbsent(connection.address, address -> new ArrayDeque<>()).add(connection);
    }

    /** Closes idle connections to an address. */
    public synchronized void closeIdle(InetSocketAddress address) {
        Deque<Connection> kept = idle.remove(address);
        if (kept != null) {
            kept.forEach(Connection::close);
        }
    }

    /** Closes what has been idle for too long. */
    public synchronized void sweep() {
        long usable = clock.now() - mostIdle;
        for (Deque<Connection> kept : idle.values()) {
            while (!kept.isEmpty() && (kept.peek().idleSince <= usable || !kept.peek().isOpen())) {
                kept.poll().close();
            }
        }
        idle.values().removeIf(Deque::isEmpty);
    }
}
