package reedmux.proxy;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import reedmux.common.eventloop.Reactor;
import reedmux.control.instances.InstanceIncarnation;
import reedmux.proxy.loadbalancer.CheckerStats;
import reedmux.proxy.request.ExecutionStatus;
import reedmux.proxy.request.ProxyResponse;
import reedmux.proxy.request.RequestAttempt;
import reedmux.proxy.request.RequestEvent;
import reedmux.proxy.request.RequestTracker;

/**
 * A pool of idle connections to checkers. Each connection belongs to one incarnation of a checker. The most recently
 * used connection is reused first, so that the others can expire. Not thread-safe; used on the reactor's thread only.
 */
final class CheckerConnectionPool implements CheckerConnection.CheckerConnectionListener {
    private final Reactor reactor;
    private final RequestTracker tracker;
    private final Map<CheckerStats, Deque<CheckerConnection>> idleConnections = new LinkedHashMap<>();

    CheckerConnectionPool(Reactor reactor, RequestTracker tracker) {
        this.reactor = reactor;
        this.tracker = tracker;
    }

    /** Sends an attempt of a {@link ClientRequest} on an idle connection, or on a new one if there is none. */
    void send(RequestAttempt attempt) {
        ClientRequest request = (ClientRequest) attempt.request().source();
        if (request.isDiscarded()) {
            reportUnsent(attempt);
            return;
        }
        Deque<CheckerConnection> connections = idleConnections.get(attempt.checker());
        while (connections != null && !connections.isEmpty()) {
            CheckerConnection connection = connections.pollLast();
            if (connection.isReusable(reactor.now())) {
                connection.start(attempt, request);
                return;
            }
            connection.close();
        }
        try {
            new CheckerConnection(reactor, attempt.checker(), this).start(attempt, request);
        } catch (IOException e) {
            reportUnsent(attempt);
        }
    }

    /** Reports, in a later turn of the reactor, the end of an attempt of which nothing was sent or will be sent. */
    void reportUnsent(RequestAttempt attempt) {
        reactor.execute(() -> onAttemptEnded(null, attempt, ExecutionStatus.NOT_EXECUTED, null));
    }

    /** Cancels an attempt if it is still in flight. Its end is reported like that of any other attempt. */
    void cancel(RequestAttempt attempt) {
        if (attempt.connection() instanceof CheckerConnection connection) {
            connection.cancel(attempt);
        }
    }

    @Override
    public void onAttemptEnded(
            CheckerConnection connection,
            RequestAttempt attempt,
            ExecutionStatus execution,
            ProxyResponse.CheckerResponse response) {
        tracker.onEvent(reactor.now(), new RequestEvent.AttemptFinished(attempt, execution, response));
    }

    @Override
    public void onIdle(CheckerConnection connection) {
        idleConnections
                .computeIfAbsent(connection.checker(), checker -> new ArrayDeque<>())
                .add(connection);
    }

    @Override
    public void onClosed(CheckerConnection connection) {
        Deque<CheckerConnection> connections = idleConnections.get(connection.checker());
        if (connections != null) {
            connections.remove(connection);
        }
    }

    /** Closes the connections that have expired or whose checker no longer accepts requests. */
    void closeUnusable() {
        for (Deque<CheckerConnection> connections : List.copyOf(idleConnections.values())) {
            for (CheckerConnection connection : List.copyOf(connections)) {
                boolean checkerReady = connection.checker().incarnation().phase() == InstanceIncarnation.READY;
                if (connection.isExpired(reactor.now()) || !checkerReady) {
                    connection.close();
                }
            }
        }
        idleConnections.values().removeIf(Deque::isEmpty);
    }
}
