package reedmux.gatekeeper.reducer;

import reedmux.gatekeeper.failover.RegionPath;
import reedmux.gatekeeper.failover.RemoteRejection;
import reedmux.gatekeeper.policy.TrafficPolicy;
import reedmux.gatekeeper.policy.TrafficPolicy.AttemptEnded;
import reedmux.gatekeeper.policy.TrafficPolicy.AttemptOutcome;
import reedmux.gatekeeper.policy.TrafficPolicy.CounterResult;
import reedmux.gatekeeper.policy.TrafficPolicy.ForwardedRequestEnded;
import reedmux.gatekeeper.policy.TrafficPolicy.HealthCheckEnded;
import reedmux.gatekeeper.policy.TrafficPolicy.PeerMessage;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicyActions;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicyEvent;
import reedmux.gatekeeper.policy.TrafficPolicy.RequestBodyProgress;
import reedmux.gatekeeper.policy.TrafficPolicy.RequestWithdrawn;
import reedmux.gatekeeper.policy.TrafficPolicy.ResponseStreamStarted;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerList;
import reedmux.gatekeeper.policy.TrafficPolicy.TimerExpired;

/**
 * The one place where the gatekeeper's state changes. It tells the policy what has happened, has its actions carried
 * out as effects ({@link PolicyActionExecutor}), and sees to it that every invocation gets exactly one final answer. It
 * decides nothing that the policy could decide. Times are microseconds of the monotonic clock.
 *
 * <p>For one thread, but for {@link #hasProviders}.
 */
public final class Reducer {
    /** When to come back after an answer that no decision stands behind. */
    private static final long UNDECIDED_RETRY_AFTER_MICROS = 350_000;

    private final TrafficPolicy policy;
    private final ReducerContext context;
    private final InvocationTable invocations;
    private final ProviderAddresses providers = new ProviderAddresses();
    private final PolicyActions actions;
    private int streamingCount;

    /** A reducer without other regions. */
    public Reducer(TrafficPolicy policy, int maxAttempts, long connectTimeout, ReducerEffects effects) {
        this(policy, maxAttempts, connectTimeout, effects, null);
    }

    /**
     * A reducer.
     *
     * @param maxAttempts    calls of one invocation at most
     * @param connectTimeout the time in which a call's connection has to be up, in microseconds
     * @param regions        the decisions on other regions, or null where none are set
     */
    public Reducer(
            TrafficPolicy policy,
            int maxAttempts,
            long connectTimeout,
            ReducerEffects effects,
            RegionCoordinator regions) {
        this.policy = policy;
        context = new ReducerContext(effects, regions);
        invocations = new InvocationTable(context);
        actions = new PolicyActionExecutor(context, invocations, providers, maxAttempts, connectTimeout);
    }

    /** Takes in one event at {@code now}, with all that follows from it at once. */
    public void reduce(long now, ReducerEvent event) {
        context.now = now;
        dispatchGuarded(event);
        for (ReducerEvent next = context.pendingEvents.poll(); next != null; next = context.pendingEvents.poll()) {
            dispatchGuarded(next);
        }
    }

    /** Takes in the events whose time has come. */
    public void reduceDue(long now) {
        // A timer set meanwhile for now or earlier waits for the next turn, as in the simulator's protocol.
        long lastSequence = context.timers.lastSequence();
        while (context.timers.isDue(now, lastSequence)) {
            ReducerEvent event = context.timers.poll();
            if (event != null) {
                reduce(now, event);
            }
        }
    }

    /** When the next timer is due, in microseconds; the far future if there is none. */
    public long nextDue() {
        return context.timers.nextDue();
    }

    /** How many providers are listed. */
    public int providerCount() {
        return providers.size();
    }

    /** Invocations that still wait for their answer, or for the rest of it. */
    public int unansweredCount() {
        return invocations.unansweredCount() + streamingCount;
    }

    /** Whether no invocation is under way: all are answered and all their calls have ended. */
    public boolean isIdle() {
        return invocations.isEmpty();
    }

    /** Whether there is anyone to send to; may be asked from any thread. */
    public boolean hasProviders() {
        return providers.anyListed();
    }

    /**
     * A fault in a decision must not take all other consumers' answers along. The invocation that it concerned has its
     * answer as soon as none of its calls is out, since nobody decides on it any more.
     */
    private void dispatchGuarded(ReducerEvent event) {
        try {
            dispatch(event);
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            context.effects.log("fault at " + event.getClass().getSimpleName() + ": " + e
                    + (trace.length == 0 ? "" : " at " + trace[0]));
            Invocation concerned = affectedInvocation(event);
            if (concerned != null && invocations.contains(concerned)) {
                concerned.policyFailed = true;
                context.pendingEvents.add(new ReducerEvent.PolicyDecisionFailed(concerned));
            }
        }
    }

    /** The invocation that the policy decides on at an event, or null where there is none. */
    private static Invocation affectedInvocation(ReducerEvent event) {
        if (event instanceof ReducerEvent.InvocationAccepted e) {
            return e.invocation();
        } else if (event instanceof ReducerEvent.RemoteInvocationAccepted e) {
            return e.invocation();
        } else if (event instanceof ReducerEvent.CallEnded e) {
            return e.call().invocation;
        } else if (event instanceof ReducerEvent.ResponseStarted e) {
            return e.call().invocation;
        } else if (event instanceof ReducerEvent.AttemptNotSent e) {
            return e.invocation();
        }
        return null;
    }

    private void dispatch(ReducerEvent event) {
        if (event instanceof ReducerEvent.InvocationAccepted e) {
            onInvocationAccepted(e.invocation());
        } else if (event instanceof ReducerEvent.CallEnded e) {
            onCallEnded(e.call(), e.result());
        } else if (event instanceof ReducerEvent.ResponseStarted e) {
            onResponseStarted(e.call(), e.head());
        } else if (event instanceof ReducerEvent.RequestBodyCompleted e) {
            onRequestBodyCompleted(e.invocation(), e.timeout());
        } else if (event instanceof ReducerEvent.ConsumerDisconnected e) {
            onConsumerDisconnected(e.invocation());
        } else if (event instanceof ReducerEvent.PolicyTimerExpired e) {
            notifyPolicy(new TimerExpired(e.token()));
        } else if (event instanceof ReducerEvent.PeerDatagramReceived e) {
            notifyPolicy(new PeerMessage(e.peer(), e.bytes()));
        } else if (event instanceof ReducerEvent.CallTimeoutExpired e && e.call().responseStartedAt == 0) {
            invocations.abort(e.call(), UpstreamCall.StopReason.TIMED_OUT);
        } else if (event instanceof ReducerEvent.ConnectTimeoutExpired e && !e.call().ended) {
            context.effects.abortConnecting(e.call());
        } else if (event instanceof ReducerEvent.InvocationDeadlinePassed e) {
            answerWithoutDecision(e.invocation());
        } else if (event instanceof ReducerEvent.ProvidersUpdated e) {
            onProvidersUpdated(e.list());
        } else if (event instanceof ReducerEvent.AttemptNotSent e) {
            onAttemptNotSent(e);
        } else if (event instanceof ReducerEvent.HealthCheckCompleted e) {
            long elapsed = context.now - e.startedAt();
            notifyPolicy(new HealthCheckEnded(e.provider(), e.result().outcome(), elapsed));
        } else if (event instanceof ReducerEvent.CounterUnavailable e) {
            notifyPolicy(new CounterResult(e.name(), e.outcome(), 0, 0));
        } else if (event instanceof ReducerEvent.RemoteInvocationAccepted e) {
            onRemoteInvocationAccepted(e.invocation(), e.path());
        } else if (event instanceof ReducerEvent.RegionRulesUpdated e && context.regions != null) {
            context.regions.applyRules(e.rules(), e.gateways(), context.now);
        } else if (event instanceof ReducerEvent.PolicyDecisionFailed e) {
            onPolicyDecisionFailed(e.invocation());
        }
    }

    private void notifyPolicy(PolicyEvent event) {
        policy.handle(context.now, event, actions);
    }

    // ---- Invocations ---------------------------------------------------------------------------------------------
    private void onInvocationAccepted(Invocation invocation) {
        // Ids are fresh on every request; a second one under a live id would mix up two consumers' answers.
        if (!invocations.add(invocation)) {
            invocation.closed = true;
            if (context.regions != null) {
                context.regions.onClosed(invocation);
            }
            context.effects.onInvocationClosed(invocation);
            context.effects.sendAnswer(invocation, new FinalAnswer.Failed(false));
            return;
        }
        invocation.acceptedAt = context.now;
        if (context.regions != null) {
            context.regions.onAccepted(invocation);
        }
        setDeadlineTimer(invocation, invocation.request.deadline());
        notifyPolicy(invocation.request);
        reportBodyIncomplete(invocation);
    }

    private void setDeadlineTimer(Invocation invocation, long at) {
        invocation.deadlineTimer = context.timers.set(at, new ReducerEvent.InvocationDeadlinePassed(invocation));
    }

    /** After whatever may have been sent: a body that is still coming in gives its provider nothing to do. */
    private void reportBodyIncomplete(Invocation invocation) {
        if (invocation.message.isStreaming() && invocation.bodyCompletedAt == 0 && !invocation.closed) {
            notifyPolicy(new RequestBodyProgress(invocation.id(), false));
        }
    }

    /** Another region's request, if it is admitted, is served like one of a consumer, but never forwarded. */
    private void onRemoteInvocationAccepted(Invocation invocation, RegionPath path) {
        RemoteRejection rejection = context.regions.admit(invocation, path, context.now);
        if (rejection != null) {
            invocation.closed = true;
            context.effects.onInvocationClosed(invocation);
            context.effects.sendAnswer(invocation, new FinalAnswer.Rejected(rejection.retryAfterMicros(), false, true));
            return;
        }
        invocation.remote = true;
        onInvocationAccepted(invocation);
    }

    /** Until now its consumer was still sending; its time, and that of its calls, runs from here. */
    private void onRequestBodyCompleted(Invocation invocation, long timeout) {
        invocation.bodyCompletedAt = context.now;
        if (invocation.closed) {
            return;
        }
        notifyPolicy(new RequestBodyProgress(invocation.id(), true));
        invocation.deadlineAt = context.now + timeout;
        invocation.deadlineTimer.cancel();
        setDeadlineTimer(invocation, invocation.deadlineAt);
        for (UpstreamCall call : invocation.calls) {
            if (!call.ended && call.timeoutTimer != null) {
                call.timeoutTimer.cancel();
                call.timeoutTimer =
                        context.timers.set(invocation.deadlineAt, new ReducerEvent.CallTimeoutExpired(call));
            }
        }
    }

    /**
     * Without its consumer, a body that was coming in will never be complete, and an answer goes nowhere: its calls are
     * cancelled. One that must not run twice may be running by now, and goes on; where it is not sent yet it never is.
     */
    private void onConsumerDisconnected(Invocation invocation) {
        boolean bodyIncomplete = invocation.message.isStreaming() && invocation.bodyCompletedAt == 0;
        for (UpstreamCall call : invocation.calls) {
            call.consumerLeft = true;
            if (invocation.idempotent || call.responseStartedAt > 0 || bodyIncomplete) {
                invocations.abort(call, UpstreamCall.StopReason.CANCELLED);
            } else if (!call.ended) {
                context.effects.abortUnlessSent(call);
            }
        }
        withdraw(invocation);
    }

    private void withdraw(Invocation invocation) {
        // One that was rejected before it was accepted has never been counted here, and has no timer.
        if (invocation.closed || !invocations.contains(invocation)) {
            return;
        }
        invocations.close(invocation);
        // What another region does for nobody costs two regions; but one that must not run twice may have run by
        // now, and nothing is gained by not hearing of it.
        for (UpstreamCall call : invocation.calls) {
            if (call.forwardedRequest != null && invocation.idempotent) {
                invocations.abort(call, UpstreamCall.StopReason.CANCELLED);
            }
        }
        invocations.removeIfComplete(invocation);
        notifyPolicy(new RequestWithdrawn(invocation.id()));
    }

    /** The policy knows it in part or not at all: what it might still decide on it is not waited for. */
    private void onPolicyDecisionFailed(Invocation invocation) {
        if (invocation.allCallsEnded()) {
            answerWithoutDecision(invocation);
            invocations.removeIfComplete(invocation);
        }
    }

    /**
     * Answers what the policy has not: at the deadline, whatever it still waits for, or after a fault. Nothing is known
     * of when there will be room, so the advice is the policy's own for that case.
     */
    private void answerWithoutDecision(Invocation invocation) {
        if (invocation.closed) {
            return;
        }
        boolean neverRan = invocation.neverRan();
        if (context.regions != null) {
            context.regions.recordLocalResult(invocation, context.now, false);
        }
        FinalAnswer answer = invocation.idempotent || neverRan
                ? new FinalAnswer.Rejected(UNDECIDED_RETRY_AFTER_MICROS, !invocation.calls.isEmpty(), neverRan)
                : new FinalAnswer.Failed(context.now >= invocation.deadlineAt);
        context.effects.sendAnswer(invocation, answer);
        withdraw(invocation);
    }

    // ---- Calls ---------------------------------------------------------------------------------------------------
    /** The answer is final from here on, whatever becomes of the rest of its body. */
    private void onResponseStarted(UpstreamCall call, CallResult.ResponseReceived head) {
        Invocation invocation = call.invocation;
        if (call.ended || call.responseStartedAt != 0 || call.stopReason != UpstreamCall.StopReason.NONE) {
            return;
        }
        call.timeoutTimer.cancel();
        call.connectTimer.cancel();
        call.responseStartedAt = context.now;
        streamingCount++;
        if (invocation.closed) {
            invocations.abort(call, UpstreamCall.StopReason.CANCELLED); // nobody is left to pass it on to
            return;
        }
        invocations.answer(invocation, new FinalAnswer.Served(head));
        notifyPolicy(new ResponseStreamStarted(
                invocation.id(), call.provider, call.number, elapsedUntilResponse(call, head)));
    }

    /**
     * How long a call took until its answer had begun to come, in microseconds: neither a request's body that comes in
     * slowly nor an answer's is work at the provider.
     */
    private long elapsedUntilResponse(UpstreamCall call, CallResult result) {
        long until = context.now;
        if (call.responseStartedAt > 0) {
            until = call.responseStartedAt;
        } else if (result instanceof CallResult.ResponseReceived response) {
            until = context.now - response.bodyElapsed();
        }
        return Math.max(0, until - Math.max(call.sentAt, call.invocation.bodyCompletedAt));
    }

    private void onCallEnded(UpstreamCall call, CallResult result) {
        if (call.ended) {
            return;
        }
        if (call.responseStartedAt > 0) {
            streamingCount--;
        }
        AttemptOutcome outcome = determineOutcome(call, result);
        call.markEnded();
        call.neverRan = outcome.neverRan();
        if (call.forwardedRequest != null) {
            onForwardEnded(call, result, outcome);
            return;
        }
        Invocation invocation = call.invocation;
        if (outcome == AttemptOutcome.OK) {
            invocations.answer(invocation, new FinalAnswer.Served((CallResult.ResponseReceived) result));
        }
        long elapsed = elapsedUntilResponse(call, result);
        notifyPolicy(
                new AttemptEnded(invocation.id(), invocation.closed, call.provider, call.number, 0, elapsed, outcome));
        reportBodyIncomplete(invocation);
        if (invocation.policyFailed) {
            onPolicyDecisionFailed(invocation);
        }
        invocations.removeIfComplete(invocation);
    }

    /** A call that was never sent as a whole never ran, whatever made us stop it; else our reason to stop counts. */
    private static AttemptOutcome determineOutcome(UpstreamCall call, CallResult result) {
        AttemptOutcome outcome = result.outcome();
        if (outcome == AttemptOutcome.CONNECT_FAILED) {
            boolean brokenOffByConsumer = call.consumerLeft
                    || call.stopReason == UpstreamCall.StopReason.CANCELLED && call.invocation.message.isStreaming();
            return brokenOffByConsumer ? AttemptOutcome.NOT_SENT : outcome; // which says nothing of the provider
        }
        if (result instanceof CallResult.ResponseReceived || call.stopReason == UpstreamCall.StopReason.NONE) {
            return outcome;
        }
        return call.stopReason == UpstreamCall.StopReason.TIMED_OUT ? AttemptOutcome.TIMEOUT : AttemptOutcome.CANCELLED;
    }

    private void onAttemptNotSent(ReducerEvent.AttemptNotSent event) {
        Invocation invocation = event.invocation();
        notifyPolicy(new AttemptEnded(
                invocation.id(), invocation.closed, event.provider(), event.number(), 0, 0, event.outcome()));
    }

    /**
     * Back from another region, which was the last resort: whatever came of it is final. It is a rejection only where a
     * repeat is harmless, and then with the more cautious advice of the two regions.
     */
    private void onForwardEnded(UpstreamCall call, CallResult result, AttemptOutcome outcome) {
        Invocation invocation = call.invocation;
        context.regions.onForwardEnded(call, result, outcome, context.now);
        invocations.answer(invocation, answerAfterForward(call, result, outcome));
        notifyPolicy(new ForwardedRequestEnded(invocation.id()));
        invocations.removeIfComplete(invocation);
    }

    private static FinalAnswer answerAfterForward(UpstreamCall call, CallResult result, AttemptOutcome outcome) {
        Invocation invocation = call.invocation;
        CallResult.ResponseReceived response = result instanceof CallResult.ResponseReceived some ? some : null;
        if (outcome == AttemptOutcome.OK) {
            return new FinalAnswer.Served(response);
        } else if (invocation.idempotent || invocation.neverRan()) {
            long advice = response != null ? response.retryAfter() : -1;
            return new FinalAnswer.Rejected(Math.max(call.rejectionRetryAfter, advice), true, invocation.neverRan());
        }
        boolean late =
                response != null ? response.status() == CallResult.TIMEOUT_STATUS : outcome == AttemptOutcome.TIMEOUT;
        return new FinalAnswer.Failed(late);
    }

    // ---- Providers -----------------------------------------------------------------------------------------------
    private void onProvidersUpdated(ProviderList list) {
        providers.apply(list, context.effects);
        notifyPolicy(new ServerList(
                list.scope(),
                list.providers().stream()
                        .map(ProviderList.ListedProvider::server)
                        .toList()));
    }
}
