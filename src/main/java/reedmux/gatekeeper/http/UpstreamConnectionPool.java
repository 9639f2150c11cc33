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
 * Sends calls to providers, discovery and other regions over pooled connections. A call is written to one connection
 * and never sent again here: whether it is retried is the policy's decision. For all threads; the monitor guards the
 * connections.
 */
public final class UpstreamConnectionPool {
    private final ConnectionInitiator reactor;
    private final MonotonicClock clock;
    private final ConnectionPermits permits;
    private final long maxIdleMicros;
    private final Map<UpstreamEndpoint, Deque<UpstreamConnection>> idleConnections = new HashMap<>();
    /** Calls whose request or response is streamed. */
    private final Set<UpstreamExchange> streamingExchanges = ConcurrentHashMap.newKeySet();

    private boolean shutDown;

    /** Limits the number of connections; for all threads. */
    public interface ConnectionPermits {
        /** Acquires a permit; returns false if there is none. */
        boolean tryAcquire();

        /** Returns a permit. */
        void release();

        /** A fixed number of permits. */
        static ConnectionPermits fixed(int count) {
            AtomicInteger available = new AtomicInteger(count);
            return new ConnectionPermits() {
                @Override
                public boolean tryAcquire() {
                    return available.getAndUpdate(now -> Math.max(0, now - 1)) > 0;
                }

                @Override
                public void release() {
                    available.incrementAndGet();
                }
            };
        }
    }

    /**
     * A pool that closes connections which have been idle for {@code maxIdleMicros}, and does not use them after that.
     */
    public UpstreamConnectionPool(
            ConnectionInitiator reactor, MonotonicClock clock, ConnectionPermits permits, long maxIdleMicros) {
        this.reactor = reactor;
        this.clock = clock;
        this.permits = permits;
        this.maxIdleMicros = maxIdleMicros;
    }

    /** Starts a call; {@code completionListener} gets its result exactly once, on any thread. */
    UpstreamExchange execute(
            UpstreamEndpoint endpoint, UpstreamRequest request, Consumer<CallResult> completionListener) {
        return execute(endpoint, request, () -> {}, null, completionListener);
    }

    /**
     * Starts a call.
     *
     * @param writtenListener    is run once if the request has been written completely
     * @param streamingListener  gets a response that is streamed, before it is complete; null to have none streamed
     * @param completionListener gets the result exactly once, on any thread
     */
    UpstreamExchange execute(
            UpstreamEndpoint endpoint,
            UpstreamRequest request,
            Runnable writtenListener,
            Consumer<CallResult.ResponseReceived> streamingListener,
            Consumer<CallResult> completionListener) {
        UpstreamExchange exchange =
                new UpstreamExchange(this, endpoint, request, writtenListener, streamingListener, completionListener);
        if (request.stream() != null) {
            streamingExchanges.add(exchange);
        }
        assignConnection(exchange);
        return exchange;
    }

    /** Finds or opens a connection for a call of which nothing has been written yet. */
    void assignConnection(UpstreamExchange exchange) {
        UpstreamConnection idle = leaseIdle(exchange);
        if (idle != null) {
            idle.executeIfStillUsable(exchange);
        } else if (exchange.isAborted()) {
            exchange.finish(new CallResult.ConnectionBroken(CallStage.CONNECTING, "given up"));
        } else if (acquirePermit()) {
            connect(exchange);
        } else {
            exchange.finish(new CallResult.ConnectionBroken(CallStage.CONNECTING, "all connections are in use"));
        }
    }

    private void connect(UpstreamExchange exchange) {
        InetSocketAddress address = exchange.endpoint().address();
        UpstreamConnection connection = new UpstreamConnection(exchange.endpoint(), this);
        try {
            Future<IOSession> future = reactor.connect(
                    httpHost(address), address, null, Timeout.DISABLED, connection, new FutureCallback<>() {
                        @Override
                        public void completed(IOSession session) {
                            if (tryAssign(connection, exchange)) {
                                connection.execute(exchange);
                            } else {
                                connectFailed("given up");
                            }
                        }

                        @Override
                        public void failed(Exception cause) {
                            connectFailed(String.valueOf(cause.getMessage()));
                        }

                        @Override
                        public void cancelled() {
                            connectFailed("given up");
                        }

                        private void connectFailed(String reason) {
                            connection.abortConnect();
                            exchange.finish(new CallResult.ConnectionBroken(CallStage.CONNECTING, reason));
                        }
                    });
            exchange.setConnectFuture(future);
            if (exchange.isAborted()) {
                future.cancel(true); // aborted before the future was set
            }
        } catch (RuntimeException e) { // the reactor has been shut down
            connection.abortConnect();
            exchange.finish(new CallResult.ConnectionBroken(CallStage.CONNECTING, String.valueOf(e.getMessage())));
        }
    }

    /**
     * The library's form of an address, with the host name given. Otherwise the library would look the name up on the
     * calling thread, which without DNS blocks each first call for 20 s.
     */
    private static HttpHost httpHost(InetSocketAddress address) {
        return new HttpHost(null, address.getAddress(), address.getAddress().getHostAddress(), address.getPort());
    }

    private synchronized UpstreamConnection leaseIdle(UpstreamExchange exchange) {
        exchange.connection = null; // a stale connection that it had before does not count any more
        Deque<UpstreamConnection> idle = exchange.isAborted() ? null : idleConnections.get(exchange.endpoint());
        long idleSinceLimit = clock.now() - maxIdleMicros;
        while (idle != null && !idle.isEmpty()) {
            UpstreamConnection connection = idle.pollLast();
            // The provider may close a connection that it has idle for long while our request is on the way to it.
            // The reset would not tell whether the request ran, so a non-idempotent one could not be retried.
            if (connection.isOpen() && connection.idleSinceMicros > idleSinceLimit) {
                tryAssign(connection, exchange);
                return connection;
            }
            connection.close();
        }
        return null;
    }

    /** Assigns a connection to a call, unless the call has been aborted. */
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
     * Closes the connection of a call that is aborted, but only while the call still has it: after its response the
     * connection may already belong to the next call.
     */
    synchronized void abort(UpstreamExchange exchange) {
        UpstreamConnection connection = exchange.connection;
        if (connection != null && connection.currentExchange == exchange) {
            connection.close();
        } else if (connection == null) {
            exchange.abortConnect();
        }
    }

    /** Acquires a permit for a connection, evicting an idle one if there is none left. */
    private boolean acquirePermit() {
        return permits.tryAcquire() || evictLongestIdle() && permits.tryAcquire();
    }

    /** Closes the connection that has been idle the longest and returns its permit at once; false if none is idle. */
    public synchronized boolean evictLongestIdle() {
        Deque<UpstreamConnection> longest = null;
        for (Deque<UpstreamConnection> idle : idleConnections.values()) {
            if (!idle.isEmpty() && (longest == null || idle.peek().idleSinceMicros < longest.peek().idleSinceMicros)) {
                longest = idle;
            }
        }
        if (longest == null) {
            return false;
        }
        longest.poll().closeAndReleasePermit();
        return true;
    }

    /** Closes idle connections now, and the others when their calls end. */
    public synchronized void shutDown() {
        shutDown = true;
        idleConnections.values().forEach(idle -> idle.forEach(UpstreamConnection::close));
        idleConnections.clear();
    }

    /** A connection has been closed and does not need its permit any more. */
    void onConnectionClosed() {
        permits.release();
    }

    /** Returns the connection of a call that has ended; it is closed unless {@code reusable}. */
    synchronized void release(UpstreamConnection connection, boolean reusable) {
        connection.currentExchange = null;
        if (reusable && !shutDown) {
            connection.idleSinceMicros = clock.now();
            idleConnections
                    .computeIfAbsent(connection.endpoint, endpoint -> new ArrayDeque<>())
                    .add(connection);
        } else {
            connection.close();
        }
    }

    /** Closes the idle connections to an endpoint. */
    synchronized void closeIdle(UpstreamEndpoint endpoint) {
        Deque<UpstreamConnection> idle = idleConnections.remove(endpoint);
        if (idle != null) {
            idle.forEach(UpstreamConnection::close);
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

    /**
     * Closes connections that have been idle for too long, and aborts streams that have stalled; to be called now and
     * then.
     */
    public void sweep() {
        long now = clock.now();
        streamingExchanges.forEach(exchange -> exchange.abortIfStalled(now));
        sweepIdle();
    }

    private synchronized void sweepIdle() {
        long idleSinceLimit = clock.now() - maxIdleMicros;
        for (Deque<UpstreamConnection> idle : idleConnections.values()) {
            idle.removeIf(connection -> {
                boolean expired = connection.idleSinceMicros <= idleSinceLimit || !connection.isOpen();
                if (expired) {
                    connection.close();
                }
                return expired;
            });
        }
        idleConnections.values().removeIf(Deque::isEmpty);
    }
}
