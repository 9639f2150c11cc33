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
 * Sends calls to providers, the discovery service and other regions over pooled connections. A call is written to one
 * connection and never sent again here: the policy decides whether to retry it. Thread-safe; the monitor guards the
 * assignment of connections.
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

    /** Limits the number of connections. Implementations must be thread-safe. */
    public interface ConnectionPermits {
        /** Acquires a permit; returns false if none is available. */
        boolean tryAcquire();

        /** Releases a permit. */
        void release();

        /** Returns a fixed number of permits. */
        static ConnectionPermits fixed(int count) {
            AtomicInteger available = new AtomicInteger(count);
            return new ConnectionPermits() {
                @Override
                public boolean tryAcquire() {
                    return available.getAndUpdate(current -> Math.max(0, current - 1)) > 0;
                }

                @Override
                public void release() {
                    available.incrementAndGet();
                }
            };
        }
    }

    /**
     * Creates a pool that closes connections which have been idle for {@code maxIdleMicros}, and does not reuse them
     * after that time.
     */
    public UpstreamConnectionPool(
            ConnectionInitiator reactor, MonotonicClock clock, ConnectionPermits permits, long maxIdleMicros) {
        this.reactor = reactor;
        this.clock = clock;
        this.permits = permits;
        this.maxIdleMicros = maxIdleMicros;
    }

    /** Starts a call; {@code completionListener} receives its result exactly once, on any thread. */
    UpstreamExchange execute(
            UpstreamEndpoint endpoint, UpstreamRequest request, Consumer<CallResult> completionListener) {
        return execute(endpoint, request, () -> {}, null, completionListener);
    }

    /**
     * Starts a call.
     *
     * @param writtenListener    runs once when the request has been written completely
     * @param streamingListener  receives a streamed response before it is complete; null to disable streaming of the
     *                           response
     * @param completionListener receives the result exactly once, on any thread
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

    /** Finds or opens a connection for a call of which no byte has been written yet. */
    void assignConnection(UpstreamExchange exchange) {
        UpstreamConnection idle = leaseIdle(exchange);
        if (idle != null) {
            idle.executeIfStillUsable(exchange);
        } else if (exchange.isAborted()) {
            exchange.finish(new CallResult.ConnectionBroken(CallStage.CONNECTING, "the call was aborted"));
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
                                connectFailed("the call was aborted");
                            }
                        }

                        @Override
                        public void failed(Exception cause) {
                            connectFailed(String.valueOf(cause.getMessage()));
                        }

                        @Override
                        public void cancelled() {
                            connectFailed("the call was aborted");
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
     * Returns the library's representation of an address, with the numeric address as its host name. Otherwise the
     * library would look the name up on the calling thread, which without DNS blocks each first call for 20 s.
     */
    private static HttpHost httpHost(InetSocketAddress address) {
        return new HttpHost(null, address.getAddress(), address.getAddress().getHostAddress(), address.getPort());
    }

    private synchronized UpstreamConnection leaseIdle(UpstreamExchange exchange) {
        exchange.connection = null; // a stale connection that the call had before no longer counts
        Deque<UpstreamConnection> idle = exchange.isAborted() ? null : idleConnections.get(exchange.endpoint());
        long idleSinceLimit = clock.now() - maxIdleMicros;
        while (idle != null && !idle.isEmpty()) {
            UpstreamConnection connection = idle.pollLast();
            // The provider may close a connection that has been idle for long while a request is on its way. The
            // resulting reset would not show whether the request ran, so a non-idempotent request could not be retried.
            if (connection.isOpen() && connection.idleSinceMicros > idleSinceLimit) {
                tryAssign(connection, exchange);
                return connection;
            }
            connection.close();
        }
        return null;
    }

    /** Assigns a connection to a call; returns false if the call has been aborted. */
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
     * Closes the connection of an aborted call, but only while the call still uses it: after the response the
     * connection may already carry the next call.
     */
    synchronized void abort(UpstreamExchange exchange) {
        UpstreamConnection connection = exchange.connection;
        if (connection != null && connection.currentExchange == exchange) {
            connection.close();
        } else if (connection == null) {
            exchange.abortConnect();
        }
    }

    /** Acquires a permit for a connection, and evicts an idle connection if no permit is left. */
    private boolean acquirePermit() {
        return permits.tryAcquire() || evictLongestIdle() && permits.tryAcquire();
    }

    /**
     * Closes the connection that has been idle the longest and releases its permit immediately; returns false if no
     * connection is idle.
     */
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

    /** Closes idle connections immediately, and the others when their calls end. */
    public synchronized void shutDown() {
        shutDown = true;
        idleConnections.values().forEach(idle -> idle.forEach(UpstreamConnection::close));
        idleConnections.clear();
    }

    /** Called when a connection no longer needs its permit. */
    void onConnectionClosed() {
        permits.release();
    }

    /** Returns the connection of a finished call to the pool; closes it unless {@code reusable} is true. */
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

    /** Returns the time of the process's monotonic clock, in microseconds. */
    long now() {
        return clock.now();
    }

    void addStreaming(UpstreamExchange exchange) {
        streamingExchanges.add(exchange);
    }

    void removeStreaming(UpstreamExchange exchange) {
        streamingExchanges.remove(exchange);
    }

    /** Closes connections that have been idle for too long, and aborts stalled streams; must be called periodically. */
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
