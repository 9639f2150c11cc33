package reedmux.http;

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
import reedmux.core.CallResult;
import reedmux.core.CallResult.Stage;
import reedmux.core.Clock;
import reedmux.http.Connection.Origin;

/**
 * Calls to providers and to discovery, over kept connections. Each call is written to one connection once;
 * nothing is ever sent again here, since every send is the module's decision.
 */
public final class Calls {
    private final ConnectionInitiator reactor;
    private final Clock clock;
    private final Room room;
    private final long mostIdle;
    private final Map<Origin, Deque<Connection>> idle = new HashMap<>();
    /** Calls with bodies that are passed on as they come. */
    private final Set<CallExchange> flowing = ConcurrentHashMap.newKeySet();

    private boolean ended;

    /** Places for connections; called by all threads. */
    public interface Room {
        /** Takes one; false where none is to be had. */
        boolean take();

        void give();

        /** So many, for nobody else. */
        static Room of(int most) {
            AtomicInteger left = new AtomicInteger(most);
            return new Room() {
                @Override
                public boolean take() {
                    return left.getAndUpdate(now -> Math.max(0, now - 1)) > 0;
                }

                @Override
                public void give() {
                    left.incrementAndGet();
                }
            };
        }
    }

    /** Connections idle for {@code mostIdle} microseconds are closed, and never used after that. */
    public Calls(ConnectionInitiator reactor, Clock clock, Room room, long mostIdle) {
        this.reactor = reactor;
        this.clock = clock;
        this.room = room;
        this.mostIdle = mostIdle;
    }

    /** Starts a call; {@code done} hears of its end exactly once, on whatever thread that happens. */
    CallExchange start(Origin to, OutgoingRequest request, Consumer<CallResult> done) {
        return start(to, request, () -> {}, null, done);
    }

    /**
     * The same; {@code written} hears once it has been written whole, if it ever is, and {@code begun} of an
     * answer that is passed on before it is whole; where that is null none is.
     */
    CallExchange start(
            Origin to,
            OutgoingRequest request,
            Runnable written,
            Consumer<CallResult.Answered> begun,
            Consumer<CallResult> done) {
        CallExchange exchange = new CallExchange(this, to, request, written, begun, done);
        if (request.flow() != null) {
            flowing.add(exchange);
        }
        go(exchange);
        return exchange;
    }

    /** Finds a connection for a call of which nothing has been written yet. */
    void go(CallExchange exchange) {
        Connection kept = lease(exchange);
        if (kept != null) {
            kept.carry(exchange);
        } else if (exchange.stopped()) {
            exchange.end(new CallResult.Broken(Stage.CONNECTING, "given up"));
        } else if (makeRoom()) {
            connect(exchange);
        } else {
            exchange.end(new CallResult.Broken(Stage.CONNECTING, "all connections are in use"));
        }
    }

    private void connect(CallExchange exchange) {
        Origin to = exchange.origin();
        Connection connection = new Connection(to, this);
        try {
            Future<IOSession> future = reactor.connect(
                    named(to.address()), to.address(), null, Timeout.DISABLED, connection, new FutureCallback<>() {
                        @Override
                        public void completed(IOSession session) {
                            if (own(connection, exchange)) {
                                connection.carryFirst(exchange);
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
                            connection.abandon();
                            exchange.end(new CallResult.Broken(Stage.CONNECTING, reason));
                        }
                    });
            exchange.connecting(future);
            if (exchange.stopped()) {
                future.cancel(true); // given up just before there was something to cancel
            }
        } catch (RuntimeException e) { // the reactor has been shut down, as at the very end of leaving
            connection.abandon();
            exchange.end(new CallResult.Broken(Stage.CONNECTING, String.valueOf(e.getMessage())));
        }
    }

    /**
     * The library's name for an address, spelt out by us: left to itself it asks name resolution for it on
     * the calling thread, and where that never answers, as there is no DNS, each first call stands still
     * for 20 s.
     */
    private static HttpHost named(InetSocketAddress address) {
        return new HttpHost(null, address.getAddress(), address.getAddress().getHostAddress(), address.getPort());
    }

    private synchronized Connection lease(CallExchange exchange) {
        exchange.connection = null; // a kept one that proved spoilt must not hide that a new one is coming up
        Deque<Connection> kept = exchange.stopped() ? null : idle.get(exchange.origin());
        long usable = clock.now() - mostIdle;
        while (kept != null && !kept.isEmpty()) {
            Connection connection = kept.pollLast();
            // One that is near the provider's own limit may be closed there while our request is on its
            // way; that would be a reset, and a call that must not run twice could not be made again.
            if (connection.isOpen() && connection.idleSince > usable) {
                own(connection, exchange);
                return connection;
            }
            connection.close();
        }
        return null;
    }

    /** Gives a connection to a call, unless that has been given up. */
    private synchronized boolean own(Connection connection, CallExchange exchange) {
        if (exchange.stopped()) {
            return false;
        }
        connection.user = exchange;
        exchange.connection = connection;
        return true;
    }

    synchronized CallExchange userOf(Connection connection) {
        return connection.user;
    }

    /**
     * Closes the connection of a call that is given up, but only as long as that call has it: one that has
     * just been answered has left it to the next.
     */
    synchronized void giveUp(CallExchange exchange) {
        Connection on = exchange.connection;
        if (on != null && on.user == exchange) {
            on.close();
        } else if (on == null) {
            exchange.stopConnecting();
        }
    }

    /** Takes a place for one more connection; where there is none, the one idle the longest goes. */
    private boolean makeRoom() {
        return room.take() || closeLongestIdle() && room.take();
    }

    /**
     * Closes the connection that has been idle the longest, whose place is free at once; false if none is.
     */
    public synchronized boolean closeLongestIdle() {
        Deque<Connection> longest = null;
        for (Deque<Connection> kept : idle.values()) {
            if (!kept.isEmpty() && (longest == null || kept.peek().idleSince < longest.peek().idleSince)) {
                longest = kept;
            }
        }
        if (longest == null) {
            return false;
        }
        longest.poll().closeAndLeave();
        return true;
    }

    /** Keeps no connection any more: those that are idle are closed now, the others with their calls. */
    public synchronized void end() {
        ended = true;
        idle.values().forEach(kept -> kept.forEach(Connection::close));
        idle.clear();
    }

    void closed() {
        room.give();
    }

    /** Takes a connection back from a call that has ended; {@code good}: it may carry a further one. */
    synchronized void release(Connection connection, boolean good) {
        connection.user = null;
        if (good && !ended) {
            connection.idleSince = clock.now();
            idle.computeIfAbsent(connection.origin, origin -> new ArrayDeque<>())
                    .add(connection);
        } else {
            connection.close();
        }
    }

    /** Closes idle connections. */
    synchronized void closeIdle(Origin origin) {
        Deque<Connection> kept = idle.remove(origin);
        if (kept != null) {
            kept.forEach(Connection::close);
        }
    }

    /** Microseconds of the program's clock. */
    long now() {
        return clock.now();
    }

    void flows(CallExchange exchange) {
        flowing.add(exchange);
    }

    void flowsNoMore(CallExchange exchange) {
        flowing.remove(exchange);
    }

    /** Closes what has been idle for too long, and gives up long bodies that have come to a halt. */
    public void sweep() {
        long now = clock.now();
        flowing.forEach(exchange -> exchange.stopIfHalted(now));
        sweepIdle();
    }

    private synchronized void sweepIdle() {
        long usable = clock.now() - mostIdle;
        for (Deque<Connection> kept : idle.values()) {
            kept.removeIf(connection -> {
                boolean over = connection.idleSince <= usable || !connection.isOpen();
                if (over) {
                    connection.close();
                }
                return over;
            });
        }
        idle.values().removeIf(Deque::isEmpty);
    }
}
