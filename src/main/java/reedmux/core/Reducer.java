package reedmux.core;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import reedmux.policy.Gateway;
import reedmux.policy.Gateway.Actions;
import reedmux.policy.Gateway.Arriving;
import reedmux.policy.Gateway.AttemptEnded;
import reedmux.policy.Gateway.Counted;
import reedmux.policy.Gateway.Outcome;
import reedmux.policy.Gateway.PeerMessage;
import reedmux.policy.Gateway.Probed;
import reedmux.policy.Gateway.Returned;
import reedmux.policy.Gateway.Scope;
import reedmux.policy.Gateway.Server;
import reedmux.policy.Gateway.ServerList;
import reedmux.policy.Gateway.Status;
import reedmux.policy.Gateway.StreamStarted;
import reedmux.policy.Gateway.TimerDue;
import reedmux.policy.Gateway.Withdrawn;
import reedmux.region.Departure;
import reedmux.region.Path;
import reedmux.region.Refusal;

/**
 * The one place where the gatekeeper's state changes. It tells the module what has happened, turns what the
 * module does into effects, and sees to it that every invocation gets exactly one final answer. It decides
 * nothing that the module could decide. Times are microseconds of the monotonic clock.
 */
public final class Reducer {
    /** The status by which another region tells that its time ran out. */
    private static final int LATE = 504;
    /** When to come back after an answer that no decision stands behind, in microseconds. */
    private static final long ADVICE = 350_000;

    private final Gateway module;
    private final long connectTimeout;
    private final int maxAttempts;
    private final Effects effects;
    private final RegionDesk desk;
    private final Actions actions = new ModuleActions();
    private final Map<String, Invocation> invocations = new HashMap<>();
    private final Map<String, InetSocketAddress> providers = new HashMap<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final ArrayDeque<Event> followUps = new ArrayDeque<>();
    private volatile boolean anyProvider;
    private long timersSet;
    private int unanswered;
    private int streaming;
    private long now;

    public Reducer(Gateway module, int maxAttempts, long connectTimeout, Effects effects) {
        this(module, maxAttempts, connectTimeout, effects, null);
    }

    /** With other regions, or without where {@code desk} is null. */
    public Reducer(Gateway module, int maxAttempts, long connectTimeout, Effects effects, RegionDesk desk) {
        this.desk = desk;
        this.module = module;
        this.maxAttempts = maxAttempts;
        this.connectTimeout = connectTimeout;
        this.effects = effects;
    }

    /** Takes in one event at {@code now}, with all that follows from it at once. */
    public void reduce(long now, Event event) {
        this.now = now;
        protect(event);
        for (Event next = followUps.poll(); next != null; next = followUps.poll()) {
            protect(next);
        }
    }

    /**
     * A fault in a decision must not take all other consumers' answers along. The invocation it concerned
     * has its answer as soon as no call for it is out, since nobody decides on it any more.
     */
    private void protect(Event event) {
        try {
            take(event);
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            effects.log("fault at " + event.getClass().getSimpleName() + ": " + e
                    + (trace.length == 0 ? "" : " at " + trace[0]));
            Invocation concerned = concerned(event);
            if (concerned != null && invocations.get(concerned.id()) == concerned) {
                concerned.faulty = true;
                followUps.add(new Event.DecisionFailed(concerned));
            }
        }
    }

    private static Invocation concerned(Event event) {
        return event instanceof Event.InvocationTaken e
                ? e.invocation()
                : event instanceof Event.VisitorTaken e
                        ? e.invocation()
                        : event instanceof Event.CallEnded e
                                ? e.call().invocation
                                : event instanceof Event.AnswerBegun e
                                        ? e.call().invocation
                                        : event instanceof Event.SendVoid e ? e.invocation() : null;
    }

    /** The module knows it in part or not at all: what it might still say of it is not waited for. */
    private void onDecisionFailed(Invocation invocation) {
        if (invocation.callsEnded()) {
            answerUndecided(invocation);
            forgetIfSettled(invocation);
        }
    }

    /** Takes in the events whose time has come. */
    public void reduceDue(long now) {
        // A timer set meanwhile for now or earlier waits for the next turn, as on the simulator's wire.
        long lastOrder = timersSet;
        while (!timers.isEmpty() && timers.peek().at <= now && timers.peek().order <= lastOrder) {
            Event event = timers.poll().event();
            if (event != null) {
                reduce(now, event);
            }
        }
    }

    /**
     * When the next timer is due; the far future if there is none. Those that were called off are passed
     * over: nearly all of them end that way, and a turn for each would cost more than the request did.
     */
    public long nextDue() {
        while (!timers.isEmpty() && timers.peek().event() == null) {
            timers.poll();
        }
        return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().at;
    }

    /** Providers in the list; for the owning thread. */
    public int listed() {
        return providers.size();
    }

    /** Invocations that still wait for their answer, or for the rest of it. */
    public int unanswered() {
        return unanswered + streaming;
    }

    /** Whether nothing is known of any invocation: all are answered and all their calls have ended. */
    public boolean idle() {
        return invocations.isEmpty();
    }

    /** Whether there is anyone to send to; may be asked from any thread. */
    public boolean anyProvider() {
        return anyProvider;
    }

    private void take(Event event) {
        if (event instanceof Event.InvocationTaken e) {
            onTaken(e.invocation());
        } else if (event instanceof Event.CallEnded e) {
            onCallEnded(e.call(), e.result());
        } else if (event instanceof Event.AnswerBegun e) {
            onAnswerBegun(e.call(), e.head());
        } else if (event instanceof Event.BodyWhole e) {
            onBodyWhole(e.invocation(), e.patience());
        } else if (event instanceof Event.ConsumerLeft e) {
            onConsumerLeft(e.invocation());
        } else if (event instanceof Event.TokenDue e) {
            module.handle(now, new TimerDue(e.token()), actions);
        } else if (event instanceof Event.PeerTold e) {
            module.handle(now, new PeerMessage(e.peer(), e.bytes()), actions);
        } else if (event instanceof Event.CallOverdue e && e.call().begunAt == 0) {
            stop(e.call(), InvokerCall.Stop.TIMED_OUT);
        } else if (event instanceof Event.ConnectOverdue e && !e.call().ended) {
            effects.stopConnecting(e.call());
        } else if (event instanceof Event.DeadlinePassed e) {
            answerUndecided(e.invocation());
        } else if (event instanceof Event.ProvidersTold e) {
            onProviders(e.list());
        } else if (event instanceof Event.SendVoid e) {
            module.handle(
                    now,
                    new AttemptEnded(
                            e.invocation().id(), e.invocation().over, e.provider(), e.number(), 0, 0, e.outcome()),
                    actions);
        } else if (event instanceof Event.ProbeEnded e) {
            Outcome outcome = e.result().outcome();
            module.handle(now, new Probed(e.provider(), outcome, now - e.askedAt()), actions);
        } else if (event instanceof Event.CountRefused e) {
            module.handle(now, new Counted(e.name(), e.outcome(), 0, 0), actions);
        } else if (event instanceof Event.VisitorTaken e) {
            onVisitor(e.invocation(), e.path());
        } else if (event instanceof Event.RegionsTold e && desk != null) {
            desk.adopt(e.rules(), e.gateways(), now);
        } else if (event instanceof Event.DecisionFailed e) {
            onDecisionFailed(e.invocation());
        }
    }

    private void onTaken(Invocation invocation) {
        // Ids are fresh on every request; a second one under a live id would mix up two consumers' answers.
        if (invocations.putIfAbsent(invocation.id(), invocation) != null) {
            invocation.over = true;
            if (desk != null) {
                desk.over(invocation);
            }
            effects.over(invocation);
            effects.answer(invocation, new Answer.Failed(false));
            return;
        }
        unanswered++;
        invocation.takenAt = now;
        if (desk != null) {
            desk.taken(invocation);
        }
        invocation.deadline = setTimer(invocation.request.deadline(), new Event.DeadlinePassed(invocation));
        module.handle(now, invocation.request, actions);
        tellArriving(invocation);
    }

    /** After whatever may have been sent: a body that is still coming in gives its provider nothing to do. */
    private void tellArriving(Invocation invocation) {
        if (invocation.message.flows() && invocation.wholeAt == 0 && !invocation.over) {
            module.handle(now, new Arriving(invocation.id(), false), actions);
        }
    }

    /** Another region's request, if it is taken in, is served like one of a consumer, but never sent on. */
    private void onVisitor(Invocation invocation, Path path) {
        Refusal refusal = desk.admit(invocation, path, now);
        if (refusal != null) {
            invocation.over = true;
            effects.over(invocation);
            effects.answer(invocation, new Answer.Rejection(refusal.retryAfter(), false, true));
            return;
        }
        invocation.visitor = true;
        onTaken(invocation);
    }

    /** Until now its consumer was still sending; its time, and that of its calls, runs from here. */
    private void onBodyWhole(Invocation invocation, long patience) {
        invocation.wholeAt = now;
        if (invocation.over) {
            return;
        }
        module.handle(now, new Arriving(invocation.id(), true), actions);
        invocation.deadlineAt = now + patience;
        invocation.deadline.callOff();
        invocation.deadline = setTimer(invocation.deadlineAt, new Event.DeadlinePassed(invocation));
        for (InvokerCall call : invocation.calls) {
            if (!call.ended && call.overdue != null) {
                call.overdue.callOff();
                call.overdue = setTimer(invocation.deadlineAt, new Event.CallOverdue(call));
            }
        }
    }

    /** The answer is final from here on, whatever becomes of its rest. */
    private void onAnswerBegun(InvokerCall call, CallResult.Answered head) {
        Invocation invocation = call.invocation;
        if (call.ended || call.begunAt != 0 || call.stop != InvokerCall.Stop.NONE) {
            return;
        }
        call.overdue.callOff();
        call.connectOverdue.callOff();
        call.begunAt = now;
        streaming++;
        if (invocation.over) {
            stop(call, InvokerCall.Stop.CANCELLED); // nobody is left to pass it on to
            return;
        }
        finish(invocation, new Answer.Served(head));
        module.handle(now, new StreamStarted(invocation.id(), call.provider, call.number, took(call, head)), actions);
    }

    /**
     * How long a call took until its answer had begun to come: neither a request's body that comes in slowly
     * nor an answer's is work at the provider.
     */
    private long took(InvokerCall call, CallResult result) {
        long until = call.begunAt > 0
                ? call.begunAt
                : result instanceof CallResult.Answered answered ? now - answered.bodyTook() : now;
        return Math.max(0, until - Math.max(call.sentAt, call.invocation.wholeAt));
    }

    private void onConsumerLeft(Invocation invocation) {
        // Without its consumer, a body that was coming in never will be whole, and an answer goes nowhere.
        invocation.calls.stream()
                .filter(call ->
                        !call.ended && (call.begunAt > 0 || invocation.message.flows() && invocation.wholeAt == 0))
                .forEach(call -> stop(call, InvokerCall.Stop.CANCELLED));
        withdraw(invocation);
    }

    private void onCallEnded(InvokerCall call, CallResult result) {
        if (call.ended) {
            return;
        }
        if (call.begunAt > 0) {
            streaming--;
        }
        Outcome outcome = result.outcome();
        if (outcome == Outcome.CONNECT_FAILED
                && call.stop == InvokerCall.Stop.CANCELLED
                && call.invocation.message.flows()) {
            outcome = Outcome.MOOT; // its consumer broke it off, which says nothing of the provider
        }
        // One that never was whole on the wire never ran, whatever made us stop; else our stop counts.
        if (result instanceof CallResult.Broken
                && outcome != Outcome.CONNECT_FAILED
                && outcome != Outcome.MOOT
                && call.stop != InvokerCall.Stop.NONE) {
            outcome = call.stop == InvokerCall.Stop.TIMED_OUT ? Outcome.TIMEOUT : Outcome.CANCELLED;
        }
        call.end();
        call.neverRan = outcome.neverRan();
        Invocation invocation = call.invocation;
        if (call.departure != null) {
            onReturned(call, result, outcome);
            return;
        }
        if (outcome == Outcome.OK) {
            finish(invocation, new Answer.Served((CallResult.Answered) result));
        }
        module.handle(
                now,
                new AttemptEnded(
                        invocation.id(), invocation.over, call.provider, call.number, 0, took(call, result), outcome),
                actions);
        tellArriving(invocation);
        if (invocation.faulty) {
            onDecisionFailed(invocation);
        }
        forgetIfSettled(invocation);
    }

    /**
     * Back from another region, which was the last resort: whatever came of it is final. It is a rejection
     * only where a repeat is harmless, and then with the more cautious advice of the two regions.
     */
    private void onReturned(InvokerCall call, CallResult result, Outcome outcome) {
        Invocation invocation = call.invocation;
        desk.returned(call, result, outcome, now);
        if (outcome == Outcome.OK) {
            finish(invocation, new Answer.Served((CallResult.Answered) result));
        } else if (invocation.repeatable || invocation.neverRan()) {
            long told = result instanceof CallResult.Answered answered ? answered.retryAfter() : -1;
            finish(invocation, new Answer.Rejection(Math.max(call.advice, told), true, invocation.neverRan()));
        } else {
            boolean late = result instanceof CallResult.Answered answered
                    ? answered.status() == LATE
                    : outcome == Outcome.TIMEOUT;
            finish(invocation, new Answer.Failed(late));
        }
        module.handle(now, new Returned(invocation.id()), actions);
        forgetIfSettled(invocation);
    }

    private void withdraw(Invocation invocation) {
        // One that was turned away before it was taken has never been counted here, and has no timer.
        if (!invocation.over && invocations.get(invocation.id()) == invocation) {
            end(invocation);
            // What another region does for nobody costs two regions; but one that must not run twice may
            // have run by now, and nothing is gained by not hearing of it.
            invocation.calls.stream()
                    .filter(call -> call.departure != null && invocation.repeatable)
                    .forEach(call -> stop(call, InvokerCall.Stop.CANCELLED));
            forgetIfSettled(invocation);
            module.handle(now, new Withdrawn(invocation.id()), actions);
        }
    }

    /**
     * Answers what the module has not: at the deadline, whatever it still waits for, or after a fault.
     * Nothing is known of when there will be room, so the advice is the module's own for that case.
     */
    private void answerUndecided(Invocation invocation) {
        if (!invocation.over) {
            boolean harmless = invocation.repeatable || invocation.neverRan();
            if (desk != null) {
                desk.judge(invocation, now, false);
            }
            effects.answer(
                    invocation,
                    harmless
                            ? new Answer.Rejection(ADVICE, !invocation.calls.isEmpty(), invocation.neverRan())
                            : new Answer.Failed(now >= invocation.deadlineAt));
            withdraw(invocation);
        }
    }

    private void onProviders(ProviderList list) {
        Map<String, InetSocketAddress> before = Map.copyOf(providers);
        if (list.scope() == Scope.FULL) {
            providers.clear();
        }
        for (ProviderList.Provider provider : list.providers()) {
            Server server = provider.server();
            if (server.status() == Status.GONE) {
                providers.remove(server.id());
            } else {
                providers.put(server.id(), provider.address());
            }
        }
        // Also one that a whole list no longer names, or names at another address: its connections would
        // else hold descriptors, and a provider's slots, until they had been idle for long.
        before.forEach((id, address) -> {
            if (!address.equals(providers.get(id))) {
                effects.closeIdle(id, address);
            }
        });
        anyProvider = !providers.isEmpty();
        module.handle(
                now,
                new ServerList(
                        list.scope(),
                        list.providers().stream()
                                .map(ProviderList.Provider::server)
                                .toList()),
                actions);
    }

    private void stop(InvokerCall call, InvokerCall.Stop why) {
        if (!call.ended && call.stop == InvokerCall.Stop.NONE) {
            call.stop = why;
            effects.stop(call);
        }
    }

    private void finish(Invocation invocation, Answer answer) {
        if (!invocation.over) {
            end(invocation);
            if (desk != null) {
                desk.answered(invocation, answer, now);
            }
            effects.answer(invocation, answer);
        }
    }

    private void end(Invocation invocation) {
        invocation.over = true;
        invocation.deadline.callOff();
        unanswered--;
        if (desk != null) {
            desk.over(invocation);
        }
        effects.over(invocation);
    }

    private void forgetIfSettled(Invocation invocation) {
        if (invocation.settled()) {
            invocations.remove(invocation.id(), invocation);
        }
    }

    private Timer setTimer(long at, Event event) {
        Timer timer = new Timer(at, ++timersSet, event);
        timers.add(timer);
        return timer;
    }

    private void setTimers(InvokerCall call, long wait) {
        call.overdue = setTimer(now + wait, new Event.CallOverdue(call));
        call.connectOverdue = setTimer(now + connectTimeout, new Event.ConnectOverdue(call));
    }

    /** What the module does, as effects. */
    private final class ModuleActions implements Actions {

        @Override
        public void send(String request, String server, long timeout) {
            Invocation invocation = invocations.get(request);
            if (invocation == null) {
                effects.log("send for an unknown request " + request);
                return;
            }
            int number = invocation.calls.size();
            long left = invocation.deadlineAt - now;
            InetSocketAddress address = providers.get(server);
            InvokerCall call = new InvokerCall(invocation, number, server, address, now);
            invocation.calls.add(call);
            boolean moot = invocation.over || left <= 0 || number >= maxAttempts || !invocation.message.sendable();
            if (moot || address == null) {
                call.ended = true;
                call.neverRan = true;
                followUps.add(
                        new Event.SendVoid(invocation, number, server, moot ? Outcome.MOOT : Outcome.CONNECT_FAILED));
                return;
            }
            long wait = timeout == 0 ? left : Math.min(left, Math.max(0, timeout));
            setTimers(call, wait);
            start(call, () -> effects.call(call, wait));
        }

        /** A call that could not even be started has certainly not run; it ends like any other. */
        private void start(InvokerCall call, Runnable how) {
            try {
                how.run();
            } catch (RuntimeException e) {
                followUps.add(new Event.CallEnded(
                        call, new CallResult.Broken(CallResult.Stage.CONNECTING, String.valueOf(e))));
            }
        }

        @Override
        public void refuse(String request, long retryAfter) {
            end(request, new Answer.Rejection(retryAfter, false, true));
        }

        @Override
        public boolean sendAway(String request, long retryAfter) {
            Invocation invocation = invocations.get(request);
            if (desk == null || invocation == null || invocation.over || invocation.message.flows()) {
                return false;
            }
            desk.judge(invocation, now, false);
            int number = invocation.calls.size();
            Departure departure = desk.depart(invocation, maxAttempts - number, now);
            if (departure == null) {
                return false;
            }
            InvokerCall call = new InvokerCall(
                    invocation,
                    number,
                    departure.gateway(),
                    desk.address(departure.gateway()),
                    now,
                    departure,
                    retryAfter);
            invocation.calls.add(call);
            setTimers(call, departure.patience());
            start(call, () -> effects.callAway(call, departure));
            return true;
        }

        @Override
        public void fail(String request) {
            end(request, new Answer.Failed(false));
        }

        private void end(String request, Answer answer) {
            Invocation invocation = invocations.get(request);
            if (invocation == null) {
                return;
            }
            if (answer instanceof Answer.Rejection rejection && !invocation.calls.isEmpty()) {
                finish(invocation, new Answer.Rejection(rejection.retryAfter(), true, invocation.neverRan()));
            } else if (answer instanceof Answer.Failed) {
                InvokerCall last =
                        invocation.calls.isEmpty() ? null : invocation.calls.get(invocation.calls.size() - 1);
                boolean late = last != null && last.stop == InvokerCall.Stop.TIMED_OUT;
                finish(invocation, new Answer.Failed(late));
            } else {
                finish(invocation, answer);
            }
            forgetIfSettled(invocation);
        }

        @Override
        public void cancel(String request, int attempt) {
            Invocation invocation = invocations.get(request);
            if (invocation != null && attempt < invocation.calls.size()) {
                stop(invocation.calls.get(attempt), InvokerCall.Stop.CANCELLED);
            }
        }

        @Override
        public void probe(String server) {
            InetSocketAddress address = providers.get(server);
            if (address != null) {
                effects.probe(server, address, now);
            }
        }

        @Override
        public void closeIdle(String server) {
            InetSocketAddress address = providers.get(server);
            if (address != null) {
                effects.closeIdle(server, address);
            }
        }

        @Override
        public void tell(int peer, byte[] bytes) {
            effects.tell(peer, bytes);
        }

        /** No counter service is reached from here: nothing is ever added, and the module is told so. */
        @Override
        public void count(long name, double amount, long keep) {
            followUps.add(new Event.CountRefused(name, Outcome.CONNECT_FAILED));
        }

        /** Discovery is watched without pause from the start, so there is nothing more to ask for. */
        @Override
        public void fetchServers() {}

        /** As for {@link #fetchServers}. */
        @Override
        public void watchServers(boolean on) {}

        @Override
        public void timer(long at, long token) {
            setTimer(at, new Event.TokenDue(token));
        }

        @Override
        public void log(String line) {
            effects.log(line);
        }
    }
}
