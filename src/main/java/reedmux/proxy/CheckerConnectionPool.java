package reedmux.proxy;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import reedmux.common.eventloop.Reactor;
import reedmux.control.instances.CheckerIncarnation;
import reedmux.proxy.loadbalancer.CheckerStats;
import reedmux.proxy.request.ExecutionStatus;
import reedmux.proxy.request.ProxyResponse;
import reedmux.proxy.request.RequestAttempt;
import reedmux.proxy.request.RequestEvent;
import reedmux.proxy.request.RequestTracker;

/**
 * The connections to checkers: each belongs to one incarnation of a checker and carries one request at a
 * time; one whose answer came whole, with its id and nothing behind it, carries the next.
 */
final class CheckerConnectionPool implements CheckerConnection.CheckerConnectionListener {
    private final Reactor reactor;
    private final RequestTracker tracker;
    private final Map<CheckerStats, Deque<CheckerConnection>> idle = new LinkedHashMap<>();

    CheckerConnectionPool(Reactor reactor, RequestTracker requests) {
        this.reactor = reactor;
        this.tracker = requests;
    }

    void send(RequestAttempt what, ClientRequest request) {
        Deque<CheckerConnection> kept = idle.get(what.checker());
        while (kept != null && !kept.isEmpty()) {
            CheckerConnection wire = kept.pollLast();
            if (wire.isReusable(reactor.now())) {
                wire.start(what, request);
                return;
            }
            wire.close();
        }
        try {
            new CheckerConnection(reactor, what.checker(), this).start(what, request);
        } catch (IOException e) {
            reactor.execute(() -> tracker.onEvent(
                    reactor.now(), new RequestEvent.AttemptFinished(what, ExecutionStatus.NOT_EXECUTED, null)));
        }
    }

    void cancel(RequestAttempt what) {
        if (what.connection() instanceof CheckerConnection wire) {
            wire.cancel(what);
        }
    }

    @Override
    public void onAttemptEnded(
            CheckerConnection wire,
            RequestAttempt what,
            ExecutionStatus verdict,
            ProxyResponse.CheckerResponse answer) {
        tracker.onEvent(reactor.now(), new RequestEvent.AttemptFinished(what, verdict, answer));
    }

    @Override
    public void onIdle(CheckerConnection wire) {
        idle.computeIfAbsent(wire.checker(), checker -> new ArrayDeque<>()).add(wire);
    }

    @Override
    public void onClosed(CheckerConnection wire) {
        Deque<CheckerConnection> kept = idle.get(wire.checker());
        if (kept != null) {
            kept.remove(wire);
        }
    }

    /** Closes what has rested for too long, or belongs to a checker that is not to be used any more. */
    void closeUnusable() {
        for (Deque<CheckerConnection> kept : List.copyOf(idle.values())) {
            for (CheckerConnection wire : List.copyOf(kept)) {
                if (wire.isExpired(reactor.now())
                        || wire.checker().incarnation().phase() != CheckerIncarnation.READY) {
                    wire.close();
                }
            }
        }
        idle.values().removeIf(Deque::isEmpty);
    }
}
