package reedmux.gatekeeper.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.reactor.ConnectionInitiator;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import reedmux.common.time.MonotonicClock;
import reedmux.gatekeeper.http.UpstreamConnection.UpstreamEndpoint;
import reedmux.gatekeeper.reducer.CallResult;
import reedmux.gatekeeper.reducer.CallResult.CallStage;

/**
 * Calls to providers and to discovery, over kept connections. Each call is written to one connection once;
 * nothing is ever sent again here, since every send is the module's decision.
 */
public final class UpstreamConnectionPool {
    private final ConnectionInitiator reactor;
    private final MonotonicClock clock;
    private final ConnectionPermits permits;
    private final long maxIdleMicros;
    private final Map<UpstreamEndpoint, Deque<UpstreamConnection>> idleConnections = new HashMap<>();
    /** Calls with bodies that are passed on as they come. */
    private final Set<UpstreamExchange> streamingExchanges = ConcurrentHashMap.newKeySet();

    private boolean shutDown;

    /** Places for connections; called by all threads. */
    public interface ConnectionPermits {
        /** Takes one; false where none is to be had. */
        boolean tryAcquire();

        void release();

        /** So many, for nobody else. */
        static ConnectionPermits fixed(int most) {
            AtomicInteger left = new AtomicInteger(most);
            return new ConnectionPermits() {
                @Override
                public boolean tryAcquire() {
                    return left.getAndUpdate(now -> Math.max(0, now - 1)) > 0;
                }

                @Override
                public void release() {
                    left.incrementAndGet();
                }
            };
        }
    }

    /** Connections idle for {@code maxIdleMicros} microseconds are closed, and never used after that. */
    public UpstreamConnectionPool(
            ConnectionInitiator reactor, MonotonicClock clock, ConnectionPermits room, long mostIdle) {
        this.reactor = reactor;
        this.clock = clock;
        this.permits = room;
        this.maxIdleMicros = mostIdle;
    }

    /** Starts a call; {@code done} hears of its end exactly once, on whatever thread that happens. */
    UpstreamExchange execute(UpstreamEndpoint to, UpstreamRequest request, Consumer<CallResult> done) {
        return execute(to, request, () -> {}, null, done);
    }

    /**
     * The same; {@code written} hears once it has been written whole, if it ever is, and {@code begun} of an
     * answer that is passed on before it is whole; where that is null none is.
     */
    UpstreamExchange execute(
            UpstreamEndpoint to,
            UpstreamRequest request,
            Runnable written,
            Consumer<CallResult.ResponseReceived> begun,
            Consumer<CallResult> done) {
        UpstreamExchange exchange = new UpstreamExchange(this, to, request, written, begun, done);
        if (request.stream() != null) {
            streamingExchanges.add(exchange);
        }
        assignConnection(exchange);
        return exchange;
    }

    /** Finds a connection for a call of which nothing has been written yet. */
    void assignConnection(UpstreamExchange exchange) {
        UpstreamConnection kept = leaseIdle(exchange);
        if (kept != null) {
            kept.executeIfStillUsable(exchange);
        } else if (exchange.isAborted()) {
            exchange.finish(new CallResult.ConnectionBroken(CallStage.CONNECTING, "given up"));
        } else if (acquirePermit()) {
            connect(exchange);
        } else {
            exchange.finish(new CallResult.ConnectionBroken(CallStage.CONNECTING, "all connections are in use"));
        }
    }

    private void connect(UpstreamExchange exchange) {
        UpstreamEndpoint to = exchange.upstream();
        UpstreamConnection connection = new UpstreamConnection(to, this);
        try {
            Future<IOSession> future = reactor.connect(
                    httpHost(to.address()), to.address(), null, Timeout.DISABLED, connection, new FutureCallback<>() {
                        @Override
                        public void completed(IOSession session) {
                            if (tryAssign(connection, exchange)) {
                                connection.execute(exchange);
                            } else {
                                neverUp("given up");
                            }
                        }

                        @Override
                        public void failed(Exception cause) {
                            neverUp(String.valueOf(cause.getMessage()));
                        }

                        @Override
                        public void cancelled() {
                            neverUp("given up");
                        }

                        private void neverUp(String reason) {
                            connection.abortConnect();
                            exchange.finish(new CallResult.ConnectionBroken(CallStage.CONNECTING, reason));
                        }
                    });
            exchange.setConnectFuture(future);
            if (exchange.isAborted()) {
                future.cancel(true); // given up just before there was something to cancel
            }
        } catch (RuntimeException e) { // the reactor has been shut down, as at the very end of leaving
            connection.abortConnect();
            exchange.finish(new CallResult.ConnectionBroken(CallStage.CONNECTING, String.valueOf(e.getMessage())));
        }
    }

    /**
     * The library's name for an address, spelt out by us: left to itself it asks name resolution for it on
     * the calling thread, and where that never answers, as there is no DNS, each first call stands still
     * for 20 s.
     */
    private static HttpHost httpHost(InetSocketAddress address) {
        return new HttpHost(null, address.getAddress(), address.getAddress().getHostAddress(), address.getPort());
    }

    private synchronized UpstreamConnection leaseIdle(UpstreamExchange exchange) {
        exchange.connection = null; // a kept one that proved spoilt must not hide that a new one is coming up
        Deque<UpstreamConnection> kept = exchange.isAborted() ? null : idleConnections.get(exchange.upstream());
        long usable = clock.now() - maxIdleMicros;
        while (kept != null && !kept.isEmpty()) {
            UpstreamConnection connection = kept.pollLast();
            // One that is near the provider's own limit may be closed there while our request is on its
            // way; that would be a reset, and a call that must not run twice could not be made again.
            if (connection.isOpen() && connection.idleSinceMicros > usable) {
                tryAssign(connection, exchange);
                return connection;
            }
            connection.close();
        }
        return null;
    }

    /** Gives a connection to a call, unless that has been given up. */
    private synchronized boolean tryAssign(UpstreamConnection connection, UpstreamExchange exchange) {
        if (exchange.isAborted()) {
            return false;
        }
        connection.currentExchange = exchange;
        exchange.connection = connection;
        return true;
    }

    synchronized UpstreamExchange exchangeOn(UpstreamConnection connection) {
        return connection.currentExchange;
    }

    /**
     * Closes the connection of a call that is given up, but only as long as that call has it: one that has
     * just been answered has left it to the next.
     */
    synchronized void abort(UpstreamExchange exchange) {
        UpstreamConnection on = exchange.connection;
        if (on != null && on.currentExchange == exchange) {
            on.close();
        } else if (on == null) {
            exchange.abortConnect();
        }
    }

    /** Takes a place for one more connection; where there is none, the one idle the longest goes. */
    private boolean acquirePermit() {
        return permits.tryAcquire() || evictLongestIdle() && permits.tryAcquire();
    }

    /**
     * Closes the connection that has been idle the longest, whose place is free at once; false if none is.
     */
    public synchronized boolean evictLongestIdle() {
        Deque<UpstreamConnection> longest = null;
        for (Deque<UpstreamConnection> kept : idleConnections.values()) {
            if (!kept.isEmpty() && (longest == null || kept.peek().idleSinceMicros < longest.peek().idleSinceMicros)) {
                longest = kept;
            }
        }
        if (longest == null) {
            return false;
        }
        longest.poll().closeAndReleasePermit();
        return true;
    }

    /** Keeps no connection any more: those that are idle are closed now, the others with their calls. */
    public synchronized void shutDown() {
        shutDown = true;
        idleConnections.values().forEach(kept -> kept.forEach(UpstreamConnection::close));
        idleConnections.clear();
    }

    void onConnectionClosed() {
        permits.release();
    }

    /** Takes a connection back from a call that has ended; {@code good}: it may carry a further one. */
    synchronized void release(UpstreamConnection connection, boolean good) {
        connection.currentExchange = null;
        if (good && !shutDown) {
            connection.idleSinceMicros = clock.now();
            idleConnections
                    .computeIfAbsent(connection.endpoint, origin -> new ArrayDeque<>())
                    .add(connection);
        } else {
            connection.close();
        }
    }

    /** Closes idle connections. */
    synchronized void closeIdle(UpstreamEndpoint origin) {
        Deque<UpstreamConnection> kept = idleConnections.remove(origin);
        if (kept != null) {
            kept.forEach(UpstreamConnection::close);
        }
    }

    /** Microseconds of the program's clock. */
    long now() {
        return clock.now();
    }

    void addStreaming(UpstreamExchange exchange) {
        streamingExchanges.add(exchange);
    }

    void removeStreaming(UpstreamExchange exchange) {
        streamingExchanges.remove(exchange);
    }

    /** Closes what has been idle for too long, and gives up long bodies that have come to a halt. */
    public void sweep() {
        long now = clock.now();
        streamingExchanges.forEach(exchange -> exchange.abortIfStalled(now));
        sweepIdle();
    }

    private synchronized void sweepIdle() {
        long usable = clock.now() - maxIdleMicros;
        for (Deque<UpstreamConnection> kept : idleConnections.values()) {
            kept.removeIf(connection -> {
                boolean over = connection.idleSinceMicros <= usable || !connection.isOpen();
                if (over) {
                    connection.close();
                }
                return over;
            });
        }
        idleConnections.values().removeIf(Deque::isEmpty);
    }
}
