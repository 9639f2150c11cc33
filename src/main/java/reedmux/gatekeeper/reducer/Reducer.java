package reedmux.gatekeeper.reducer;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import reedmux.gatekeeper.failover.ForwardedRequest;
import reedmux.gatekeeper.failover.RegionPath;
import reedmux.gatekeeper.failover.RemoteRejection;
import reedmux.gatekeeper.policy.TrafficPolicy;
import reedmux.gatekeeper.policy.TrafficPolicy.AttemptEnded;
import reedmux.gatekeeper.policy.TrafficPolicy.AttemptOutcome;
import reedmux.gatekeeper.policy.TrafficPolicy.CounterResult;
import reedmux.gatekeeper.policy.TrafficPolicy.ForwardedRequestEnded;
import reedmux.gatekeeper.policy.TrafficPolicy.HealthCheckEnded;
import reedmux.gatekeeper.policy.TrafficPolicy.ListedServer;
import reedmux.gatekeeper.policy.TrafficPolicy.PeerMessage;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicyActions;
import reedmux.gatekeeper.policy.TrafficPolicy.RequestBodyProgress;
import reedmux.gatekeeper.policy.TrafficPolicy.RequestWithdrawn;
import reedmux.gatekeeper.policy.TrafficPolicy.ResponseStreamStarted;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerList;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerListScope;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerStatus;
import reedmux.gatekeeper.policy.TrafficPolicy.TimerExpired;

/**
 * The one place where the gatekeeper's state changes. It tells the module what has happened, turns what the
 * module does into effects, and sees to it that every invocation gets exactly one final answer. It decides
 * nothing that the module could decide. Times are microseconds of the monotonic clock.
 */
public final class Reducer {
    /** The status by which another region tells that its time ran out. */
    private static final int GATEWAY_TIMEOUT_STATUS = 504;
    /** When to come back after an answer that no decision stands behind, in microseconds. */
    private static final long UNDECIDED_RETRY_AFTER_MICROS = 350_000;

    private final TrafficPolicy policy;
    private final long connectTimeout;
    private final int maxAttempts;
    private final ReducerEffects effects;
    private final RegionCoordinator regions;
    private final PolicyActions actions = new ReducerPolicyActions();
    private final Map<String, Invocation> invocations = new HashMap<>();
    private final Map<String, InetSocketAddress> providers = new HashMap<>();
    private final PriorityQueue<ReducerTimer> timers = new PriorityQueue<>();
    private final ArrayDeque<ReducerEvent> pendingEvents = new ArrayDeque<>();
    private volatile boolean hasProviders;
    private long timerCount;
    private int unansweredCount;
    private int streamingCount;
    private long now;

    public Reducer(TrafficPolicy module, int maxAttempts, long connectTimeout, ReducerEffects effects) {
        this(module, maxAttempts, connectTimeout, effects, null);
    }

    /** With other regions, or without where {@code regions} is null. */
    public Reducer(
            TrafficPolicy module,
            int maxAttempts,
            long connectTimeout,
            ReducerEffects effects,
            RegionCoordinator desk) {
        this.regions = desk;
        this.policy = module;
        this.maxAttempts = maxAttempts;
        this.connectTimeout = connectTimeout;
        this.effects = effects;
    }

    /** Takes in one event at {@code now}, with all that follows from it at once. */
    public void reduce(long now, ReducerEvent event) {
        this.now = now;
        dispatchGuarded(event);
        for (ReducerEvent next = pendingEvents.poll(); next != null; next = pendingEvents.poll()) {
            dispatchGuarded(next);
        }
    }

    /**
     * A fault in a decision must not take all other consumers' answers along. The invocation it concerned
     * has its answer as soon as no call for it is out, since nobody decides on it any more.
     */
    private void dispatchGuarded(ReducerEvent event) {
        try {
            dispatch(event);
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            effects.log("fault at " + event.getClass().getSimpleName() + ": " + e
                    + (trace.length == 0 ? "" : " at " + trace[0]));
            Invocation concerned = invocationOf(event);
            if (concerned != null && invocations.get(concerned.id()) == concerned) {
                concerned.policyFailed = true;
                pendingEvents.add(new ReducerEvent.PolicyDecisionFailed(concerned));
            }
        }
    }

    private static Invocation invocationOf(ReducerEvent event) {
        return event instanceof ReducerEvent.InvocationAccepted e
                ? e.invocation()
                : event instanceof ReducerEvent.RemoteInvocationAccepted e
                        ? e.invocation()
                        : event instanceof ReducerEvent.CallEnded e
                                ? e.call().invocation
                                : event instanceof ReducerEvent.ResponseStarted e
                                        ? e.call().invocation
                                        : event instanceof ReducerEvent.AttemptNotSent e ? e.invocation() : null;
    }

    /** The module knows it in part or not at all: what it might still say of it is not waited for. */
    private void onPolicyDecisionFailed(Invocation invocation) {
        if (invocation.allCallsEnded()) {
            answerUndecided(invocation);
            forgetIfSettled(invocation);
        }
    }

    /** Takes in the events whose time has come. */
    public void reduceDue(long now) {
        // A timer set meanwhile for now or earlier waits for the next turn, as on the simulator's wire.
        long lastOrder = timerCount;
        while (!timers.isEmpty() && timers.peek().dueAt <= now && timers.peek().sequence <= lastOrder) {
            ReducerEvent event = timers.poll().event();
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
        return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().dueAt;
    }

    /** Providers in the list; for the owning thread. */
    public int providerCount() {
        return providers.size();
    }

    /** Invocations that still wait for their answer, or for the rest of it. */
    public int unansweredCount() {
        return unansweredCount + streamingCount;
    }

    /** Whether nothing is known of any invocation: all are answered and all their calls have ended. */
    public boolean isIdle() {
        return invocations.isEmpty();
    }

    /** Whether there is anyone to send to; may be asked from any thread. */
    public boolean hasProviders() {
        return hasProviders;
    }

    private void dispatch(ReducerEvent event) {
        if (event instanceof ReducerEvent.InvocationAccepted e) {
            onAccepted(e.invocation());
        } else if (event instanceof ReducerEvent.CallEnded e) {
            onCallEnded(e.call(), e.result());
        } else if (event instanceof ReducerEvent.ResponseStarted e) {
            onResponseStarted(e.call(), e.head());
        } else if (event instanceof ReducerEvent.RequestBodyCompleted e) {
            onRequestBodyCompleted(e.invocation(), e.timeout());
        } else if (event instanceof ReducerEvent.ConsumerDisconnected e) {
            onConsumerDisconnected(e.invocation());
        } else if (event instanceof ReducerEvent.PolicyTimerExpired e) {
            policy.handle(now, new TimerExpired(e.token()), actions);
        } else if (event instanceof ReducerEvent.PeerDatagramReceived e) {
            policy.handle(now, new PeerMessage(e.peer(), e.bytes()), actions);
        } else if (event instanceof ReducerEvent.CallTimeoutExpired e && e.call().responseStartedAt == 0) {
            stop(e.call(), UpstreamCall.StopReason.TIMED_OUT);
        } else if (event instanceof ReducerEvent.ConnectTimeoutExpired e && !e.call().ended) {
            effects.abortConnecting(e.call());
        } else if (event instanceof ReducerEvent.InvocationDeadlinePassed e) {
            answerUndecided(e.invocation());
        } else if (event instanceof ReducerEvent.ProvidersUpdated e) {
            onProviders(e.list());
        } else if (event instanceof ReducerEvent.AttemptNotSent e) {
            policy.handle(
                    now,
                    new AttemptEnded(
                            e.invocation().id(), e.invocation().closed, e.provider(), e.number(), 0, 0, e.outcome()),
                    actions);
        } else if (event instanceof ReducerEvent.HealthCheckCompleted e) {
            AttemptOutcome outcome = e.result().outcome();
            policy.handle(now, new HealthCheckEnded(e.provider(), outcome, now - e.startedAt()), actions);
        } else if (event instanceof ReducerEvent.CounterUnavailable e) {
            policy.handle(now, new CounterResult(e.name(), e.outcome(), 0, 0), actions);
        } else if (event instanceof ReducerEvent.RemoteInvocationAccepted e) {
            onRemoteAccepted(e.invocation(), e.path());
        } else if (event instanceof ReducerEvent.RegionRulesUpdated e && regions != null) {
            regions.applyRules(e.rules(), e.gateways(), now);
        } else if (event instanceof ReducerEvent.PolicyDecisionFailed e) {
            onPolicyDecisionFailed(e.invocation());
        }
    }

    private void onAccepted(Invocation invocation) {
        // Ids are fresh on every request; a second one under a live id would mix up two consumers' answers.
        if (invocations.putIfAbsent(invocation.id(), invocation) != null) {
            invocation.closed = true;
            if (regions != null) {
                regions.onClosed(invocation);
            }
            effects.onInvocationClosed(invocation);
            effects.sendAnswer(invocation, new FinalAnswer.Failed(false));
            return;
        }
        unansweredCount++;
        invocation.acceptedAt = now;
        if (regions != null) {
            regions.onAccepted(invocation);
        }
        invocation.deadlineTimer =
                setTimer(invocation.request.deadline(), new ReducerEvent.InvocationDeadlinePassed(invocation));
        policy.handle(now, invocation.request, actions);
        reportBodyIncomplete(invocation);
    }

    /** After whatever may have been sent: a body that is still coming in gives its provider nothing to do. */
    private void reportBodyIncomplete(Invocation invocation) {
        if (invocation.message.isStreaming() && invocation.bodyCompletedAt == 0 && !invocation.closed) {
            policy.handle(now, new RequestBodyProgress(invocation.id(), false), actions);
        }
    }

    /** Another region's request, if it is taken in, is served like one of a consumer, but never sent on. */
    private void onRemoteAccepted(Invocation invocation, RegionPath path) {
        RemoteRejection refusal = regions.admit(invocation, path, now);
        if (refusal != null) {
            invocation.closed = true;
            effects.onInvocationClosed(invocation);
            effects.sendAnswer(invocation, new FinalAnswer.Rejected(refusal.retryAfterMicros(), false, true));
            return;
        }
        invocation.remote = true;
        onAccepted(invocation);
    }

    /** Until now its consumer was still sending; its time, and that of its calls, runs from here. */
    private void onRequestBodyCompleted(Invocation invocation, long patience) {
        invocation.bodyCompletedAt = now;
        if (invocation.closed) {
            return;
        }
        policy.handle(now, new RequestBodyProgress(invocation.id(), true), actions);
        invocation.deadlineAt = now + patience;
        invocation.deadlineTimer.cancel();
        invocation.deadlineTimer =
                setTimer(invocation.deadlineAt, new ReducerEvent.InvocationDeadlinePassed(invocation));
        for (UpstreamCall call : invocation.calls) {
            if (!call.ended && call.timeoutTimer != null) {
                call.timeoutTimer.cancel();
                call.timeoutTimer = setTimer(invocation.deadlineAt, new ReducerEvent.CallTimeoutExpired(call));
            }
        }
    }

    /** The answer is final from here on, whatever becomes of its rest. */
    private void onResponseStarted(UpstreamCall call, CallResult.ResponseReceived head) {
        Invocation invocation = call.invocation;
        if (call.ended || call.responseStartedAt != 0 || call.stopReason != UpstreamCall.StopReason.NONE) {
            return;
        }
        call.timeoutTimer.cancel();
        call.connectTimer.cancel();
        call.responseStartedAt = now;
        streamingCount++;
        if (invocation.closed) {
            stop(call, UpstreamCall.StopReason.CANCELLED); // nobody is left to pass it on to
            return;
        }
        finish(invocation, new FinalAnswer.Served(head));
        policy.handle(
                now,
                new ResponseStreamStarted(invocation.id(), call.provider, call.number, elapsed(call, head)),
                actions);
    }

    /**
     * How long a call took until its answer had begun to come: neither a request's body that comes in slowly
     * nor an answer's is work at the provider.
     */
    private long elapsed(UpstreamCall call, CallResult result) {
        long until = call.responseStartedAt > 0
                ? call.responseStartedAt
                : result instanceof CallResult.ResponseReceived answered ? now - answered.bodyElapsed() : now;
        return Math.max(0, until - Math.max(call.sentAt, call.invocation.bodyCompletedAt));
    }

    private void onConsumerDisconnected(Invocation invocation) {
        // Without its consumer, a body that was coming in never will be whole, and an answer goes nowhere.
        invocation.calls.stream()
                .filter(call -> !call.ended
                        && (call.responseStartedAt > 0
                                || invocation.message.isStreaming() && invocation.bodyCompletedAt == 0))
                .forEach(call -> stop(call, UpstreamCall.StopReason.CANCELLED));
        withdraw(invocation);
    }

    private void onCallEnded(UpstreamCall call, CallResult result) {
        if (call.ended) {
            return;
        }
        if (call.responseStartedAt > 0) {
            streamingCount--;
        }
        AttemptOutcome outcome = result.outcome();
        if (outcome == AttemptOutcome.CONNECT_FAILED
                && call.stopReason == UpstreamCall.StopReason.CANCELLED
                && call.invocation.message.isStreaming()) {
            outcome = AttemptOutcome.NOT_SENT; // its consumer broke it off, which says nothing of the provider
        }
        // One that never was whole on the wire never ran, whatever made us stop; else our stop counts.
        if (result instanceof CallResult.ConnectionBroken
                && outcome != AttemptOutcome.CONNECT_FAILED
                && outcome != AttemptOutcome.NOT_SENT
                && call.stopReason != UpstreamCall.StopReason.NONE) {
            outcome = call.stopReason == UpstreamCall.StopReason.TIMED_OUT
                    ? AttemptOutcome.TIMEOUT
                    : AttemptOutcome.CANCELLED;
        }
        call.markEnded();
        call.neverRan = outcome.neverRan();
        Invocation invocation = call.invocation;
        if (call.forwardedRequest != null) {
            onForwardEnded(call, result, outcome);
            return;
        }
        if (outcome == AttemptOutcome.OK) {
            finish(invocation, new FinalAnswer.Served((CallResult.ResponseReceived) result));
        }
        policy.handle(
                now,
                new AttemptEnded(
                        invocation.id(),
                        invocation.closed,
                        call.provider,
                        call.number,
                        0,
                        elapsed(call, result),
                        outcome),
                actions);
        reportBodyIncomplete(invocation);
        if (invocation.policyFailed) {
            onPolicyDecisionFailed(invocation);
        }
        forgetIfSettled(invocation);
    }

    /**
     * Back from another region, which was the last resort: whatever came of it is final. It is a rejection
     * only where a repeat is harmless, and then with the more cautious advice of the two regions.
     */
    private void onForwardEnded(UpstreamCall call, CallResult result, AttemptOutcome outcome) {
        Invocation invocation = call.invocation;
        regions.onForwardEnded(call, result, outcome, now);
        if (outcome == AttemptOutcome.OK) {
            finish(invocation, new FinalAnswer.Served((CallResult.ResponseReceived) result));
        } else if (invocation.repeatable || invocation.neverRan()) {
            long told = result instanceof CallResult.ResponseReceived answered ? answered.retryAfter() : -1;
            finish(
                    invocation,
                    new FinalAnswer.Rejected(Math.max(call.rejectionRetryAfter, told), true, invocation.neverRan()));
        } else {
            boolean late = result instanceof CallResult.ResponseReceived answered
                    ? answered.status() == GATEWAY_TIMEOUT_STATUS
                    : outcome == AttemptOutcome.TIMEOUT;
            finish(invocation, new FinalAnswer.Failed(late));
        }
        policy.handle(now, new ForwardedRequestEnded(invocation.id()), actions);
        forgetIfSettled(invocation);
    }

    private void withdraw(Invocation invocation) {
        // One that was turned away before it was taken has never been counted here, and has no timer.
        if (!invocation.closed && invocations.get(invocation.id()) == invocation) {
            end(invocation);
            // What another region does for nobody costs two regions; but one that must not run twice may
            // have run by now, and nothing is gained by not hearing of it.
            invocation.calls.stream()
                    .filter(call -> call.forwardedRequest != null && invocation.repeatable)
                    .forEach(call -> stop(call, UpstreamCall.StopReason.CANCELLED));
            forgetIfSettled(invocation);
            policy.handle(now, new RequestWithdrawn(invocation.id()), actions);
        }
    }

    /**
     * Answers what the module has not: at the deadline, whatever it still waits for, or after a fault.
     * Nothing is known of when there will be room, so the advice is the module's own for that case.
     */
    private void answerUndecided(Invocation invocation) {
        if (!invocation.closed) {
            boolean harmless = invocation.repeatable || invocation.neverRan();
            if (regions != null) {
                regions.recordService(invocation, now, false);
            }
            effects.sendAnswer(
                    invocation,
                    harmless
                            ? new FinalAnswer.Rejected(
                                    UNDECIDED_RETRY_AFTER_MICROS, !invocation.calls.isEmpty(), invocation.neverRan())
                            : new FinalAnswer.Failed(now >= invocation.deadlineAt));
            withdraw(invocation);
        }
    }

    private void onProviders(ProviderList list) {
        Map<String, InetSocketAddress> before = Map.copyOf(providers);
        if (list.scope() == ServerListScope.FULL) {
            providers.clear();
        }
        for (ProviderList.ListedProvider provider : list.providers()) {
            ListedServer server = provider.server();
            if (server.status() == ServerStatus.GONE) {
                providers.remove(server.id());
            } else {
                providers.put(server.id(), provider.address());
            }
        }
        // Also one that a whole list no longer names, or names at another address: its connections would
        // else hold descriptors, and a provider's slots, until they had been idle for long.
        before.forEach((id, address) -> {
            if (!address.equals(providers.get(id))) {
                effects.closeIdleConnections(id, address);
            }
        });
        hasProviders = !providers.isEmpty();
        policy.handle(
                now,
                new ServerList(
                        list.scope(),
                        list.providers().stream()
                                .map(ProviderList.ListedProvider::server)
                                .toList()),
                actions);
    }

    private void stop(UpstreamCall call, UpstreamCall.StopReason why) {
        if (!call.ended && call.stopReason == UpstreamCall.StopReason.NONE) {
            call.stopReason = why;
            effects.abortCall(call);
        }
    }

    private void finish(Invocation invocation, FinalAnswer answer) {
        if (!invocation.closed) {
            end(invocation);
            if (regions != null) {
                regions.onAnswered(invocation, answer, now);
            }
            effects.sendAnswer(invocation, answer);
        }
    }

    private void end(Invocation invocation) {
        invocation.closed = true;
        invocation.deadlineTimer.cancel();
        unansweredCount--;
        if (regions != null) {
            regions.onClosed(invocation);
        }
        effects.onInvocationClosed(invocation);
    }

    private void forgetIfSettled(Invocation invocation) {
        if (invocation.isSettled()) {
            invocations.remove(invocation.id(), invocation);
        }
    }

    private ReducerTimer setTimer(long at, ReducerEvent event) {
        ReducerTimer timer = new ReducerTimer(at, ++timerCount, event);
        timers.add(timer);
        return timer;
    }

    private void setTimers(UpstreamCall call, long wait) {
        call.timeoutTimer = setTimer(now + wait, new ReducerEvent.CallTimeoutExpired(call));
        call.connectTimer = setTimer(now + connectTimeout, new ReducerEvent.ConnectTimeoutExpired(call));
    }

    /** What the module does, as effects. */
    private final class ReducerPolicyActions implements PolicyActions {

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
            UpstreamCall call = new UpstreamCall(invocation, number, server, address, now);
            invocation.calls.add(call);
            boolean moot = invocation.closed || left <= 0 || number >= maxAttempts || !invocation.message.isSendable();
            if (moot || address == null) {
                call.ended = true;
                call.neverRan = true;
                pendingEvents.add(new ReducerEvent.AttemptNotSent(
                        invocation, number, server, moot ? AttemptOutcome.NOT_SENT : AttemptOutcome.CONNECT_FAILED));
                return;
            }
            long wait = timeout == 0 ? left : Math.min(left, Math.max(0, timeout));
            setTimers(call, wait);
            start(call, () -> effects.startCall(call, wait));
        }

        /** A call that could not even be started has certainly not run; it ends like any other. */
        private void start(UpstreamCall call, Runnable how) {
            try {
                how.run();
            } catch (RuntimeException e) {
                pendingEvents.add(new ReducerEvent.CallEnded(
                        call, new CallResult.ConnectionBroken(CallResult.CallStage.CONNECTING, String.valueOf(e))));
            }
        }

        @Override
        public void reject(String request, long retryAfter) {
            end(request, new FinalAnswer.Rejected(retryAfter, false, true));
        }

        @Override
        public boolean forwardToRegion(String request, long retryAfter) {
            Invocation invocation = invocations.get(request);
            if (regions == null || invocation == null || invocation.closed || invocation.message.isStreaming()) {
                return false;
            }
            regions.recordService(invocation, now, false);
            int number = invocation.calls.size();
            ForwardedRequest departure = regions.forward(invocation, maxAttempts - number, now);
            if (departure == null) {
                return false;
            }
            UpstreamCall call = new UpstreamCall(
                    invocation,
                    number,
                    departure.gateway(),
                    regions.address(departure.gateway()),
                    now,
                    departure,
                    retryAfter);
            invocation.calls.add(call);
            setTimers(call, departure.timeoutMicros());
            start(call, () -> effects.startForwardedCall(call, departure));
            return true;
        }

        @Override
        public void fail(String request) {
            end(request, new FinalAnswer.Failed(false));
        }

        private void end(String request, FinalAnswer answer) {
            Invocation invocation = invocations.get(request);
            if (invocation == null) {
                return;
            }
            if (answer instanceof FinalAnswer.Rejected rejection && !invocation.calls.isEmpty()) {
                finish(invocation, new FinalAnswer.Rejected(rejection.retryAfter(), true, invocation.neverRan()));
            } else if (answer instanceof FinalAnswer.Failed) {
                UpstreamCall last =
                        invocation.calls.isEmpty() ? null : invocation.calls.get(invocation.calls.size() - 1);
                boolean late = last != null && last.stopReason == UpstreamCall.StopReason.TIMED_OUT;
                finish(invocation, new FinalAnswer.Failed(late));
            } else {
                finish(invocation, answer);
            }
            forgetIfSettled(invocation);
        }

        @Override
        public void cancelAttempt(String request, int attempt) {
            Invocation invocation = invocations.get(request);
            if (invocation != null && attempt < invocation.calls.size()) {
                stop(invocation.calls.get(attempt), UpstreamCall.StopReason.CANCELLED);
            }
        }

        @Override
        public void checkHealth(String server) {
            InetSocketAddress address = providers.get(server);
            if (address != null) {
                effects.checkHealth(server, address, now);
            }
        }

        @Override
        public void closeIdleConnections(String server) {
            InetSocketAddress address = providers.get(server);
            if (address != null) {
                effects.closeIdleConnections(server, address);
            }
        }

        @Override
        public void sendToPeer(int peer, byte[] bytes) {
            effects.sendToPeer(peer, bytes);
        }

        /** No counter service is reached from here: nothing is ever added, and the module is told so. */
        @Override
        public void addToCounter(long name, double amount, long keep) {
            pendingEvents.add(new ReducerEvent.CounterUnavailable(name, AttemptOutcome.CONNECT_FAILED));
        }

        /** Discovery is watched without pause from the start, so there is nothing more to ask for. */
        @Override
        public void fetchServers() {}

        /** As for {@link #fetchServers}. */
        @Override
        public void watchServers(boolean on) {}

        @Override
        public void setTimer(long at, long token) {
            Reducer.this.setTimer(at, new ReducerEvent.PolicyTimerExpired(token));
        }

        @Override
        public void log(String line) {
            effects.log(line);
        }
    }
}
