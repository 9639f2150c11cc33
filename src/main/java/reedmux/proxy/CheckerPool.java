package reedmux.proxy;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import reedmux.attempt.Answer;
import reedmux.attempt.Event;
import reedmux.attempt.Requests;
import reedmux.attempt.Try;
import reedmux.attempt.Verdict;
import reedmux.choice.Checker;
import reedmux.fleet.Incarnation;
import reedmux.net.Reactor;

/**
 * The connections to checkers: each belongs to one incarnation of a checker and carries one request at a
 * time; one whose answer came whole, with its id and nothing behind it, carries the next.
 */
final class CheckerPool implements CheckerWire.Owner {
    private final Reactor reactor;
    private final Requests requests;
    private final Map<Checker, Deque<CheckerWire>> idle = new LinkedHashMap<>();

    CheckerPool(Reactor reactor, Requests requests) {
        this.reactor = reactor;
        this.requests = requests;
    }

    void send(Try what, ClientRequest request) {
        Deque<CheckerWire> kept = idle.get(what.checker());
        while (kept != null && !kept.isEmpty()) {
            CheckerWire wire = kept.pollLast();
            if (wire.usable(reactor.now())) {
                wire.carry(what, request);
                return;
            }
            wire.shut();
        }
        try {
            new CheckerWire(reactor, what.checker(), this).carry(what, request);
        } catch (IOException e) {
            reactor.execute(() -> requests.on(reactor.now(), new Event.Ended(what, Verdict.NOT_RUN, null)));
        }
    }

    void giveUp(Try what) {
        if (what.carrier() instanceof CheckerWire wire) {
            wire.giveUp(what);
        }
    }

    @Override
    public void ended(CheckerWire wire, Try what, Verdict verdict, Answer.OfChecker answer) {
        requests.on(reactor.now(), new Event.Ended(what, verdict, answer));
    }

    @Override
    public void free(CheckerWire wire) {
        idle.computeIfAbsent(wire.checker(), checker -> new ArrayDeque<>()).add(wire);
    }

    @Override
    public void gone(CheckerWire wire) {
        Deque<CheckerWire> kept = idle.get(wire.checker());
        if (kept != null) {
            kept.remove(wire);
        }
    }

    /** Closes what has rested for too long, or belongs to a checker that is not to be used any more. */
    void look() {
        for (Deque<CheckerWire> kept : List.copyOf(idle.values())) {
            for (CheckerWire wire : List.copyOf(kept)) {
                if (wire.stale(reactor.now()) || wire.checker().life().phase() != Incarnation.READY) {
                    wire.shut();
                }
            }
        }
        idle.values().removeIf(Deque::isEmpty);
    }
}
