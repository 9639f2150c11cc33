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
 * The gatekeeper's state machine, and the only place where its state changes. The reducer reports events to the policy
 * and has the policy's actions executed as effects by {@link PolicyActionExecutor}. It ensures that no invocation gets
 * more than one final answer, and that each invocation gets one unless its consumer disconnects. It makes no decision
 * that the policy can make. Times are in microseconds of the monotonic clock.
 *
 * <p>Must be used by a single thread, except for {@link #hasProviders}.
 */
public final class Reducer {
    /** The retry delay in a rejection that was not decided by the policy. */
    private static final long UNDECIDED_RETRY_AFTER_MICROS = 350_000;

    private final TrafficPolicy policy;
    private final ReducerContext context;
    private final InvocationTable invocations;
    private final ProviderAddresses providers = new ProviderAddresses();
    private final PolicyActions actions;
    private int streamingCount;

    /** Creates a reducer that has no other regions to forward to. */
    public Reducer(TrafficPolicy policy, int maxAttempts, long connectTimeout, ReducerEffects effects) {
        this(policy, maxAttempts, connectTimeout, effects, null);
    }

    /**
     * Creates a reducer.
     *
     * @param maxAttempts    the maximum number of calls for one invocation
     * @param connectTimeout the time limit for establishing a call's connection, in microseconds
     * @param regions        the coordinator for other regions, or null if no regions are configured
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

    /** Processes one event at time {@code now}, and then the events that it raises. */
    public void reduce(long now, ReducerEvent event) {
        context.now = now;
        dispatchGuarded(event);
        for (ReducerEvent next = context.pendingEvents.poll(); next != null; next = context.pendingEvents.poll()) {
            dispatchGuarded(next);
        }
    }

    /** Processes the events of all timers that are due. */
    public void reduceDue(long now) {
        // A timer that is set during this call waits for the next call even if it is already due, as in the simulator's
        // protocol.
        long lastSequence = context.timers.lastSequence();
        while (context.timers.isDue(now, lastSequence)) {
            ReducerEvent event = context.timers.poll();
            if (event != null) {
                reduce(now, event);
            }
        }
    }

    /** Returns the due time of the next timer in microseconds, or {@link Long#MAX_VALUE} if no timer is set. */
    public long nextDue() {
        return context.timers.nextDue();
    }

    /** Returns the number of listed providers. */
    public int providerCount() {
        return providers.size();
    }

    /** Returns the number of invocations that wait for their answer, plus the responses still being streamed. */
    public int unansweredCount() {
        return invocations.unansweredCount() + streamingCount;
    }

    /** Returns whether no invocation is in flight: all are closed and all of their calls have ended. */
    public boolean isIdle() {
        return invocations.isEmpty();
    }

    /** Returns whether any provider is listed. Can be called from any thread. */
    public boolean hasProviders() {
        return providers.anyListed();
    }

    /**
     * Processes an event and catches exceptions, so that a fault in one decision does not prevent the answers to other
     * consumers. The affected invocation is answered as soon as none of its calls is in flight, since the policy may
     * never decide on it again.
     */
    private void dispatchGuarded(ReducerEvent event) {
        try {
            dispatch(event);
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            context.effects.log("fault at " + event.getClass().getSimpleName() + ": " + e
                    + (trace.length == 0 ? "" : " at " + trace[0]));
            Invocation affected = affectedInvocation(event);
            if (affected != null && invocations.contains(affected)) {
                affected.policyFailed = true;
                context.pendingEvents.add(new ReducerEvent.PolicyDecisionFailed(affected));
            }
        }
    }

    /** Returns the invocation that the policy decides on when it handles the event, or null if there is none. */
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
        // Each request has a unique id. A second request with an id that is in flight must be refused: otherwise the
        // answers to two consumers would be mixed up.
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

    private void setDeadlineTimer(Invocation invocation, long deadline) {
        invocation.deadlineTimer = context.timers.set(deadline, new ReducerEvent.InvocationDeadlinePassed(invocation));
    }

    /**
     * Reports to the policy that the request body is still arriving, so that the provider cannot run the request yet.
     * Called after the policy may have sent the request.
     */
    private void reportBodyIncomplete(Invocation invocation) {
        if (invocation.message.isStreaming() && invocation.bodyCompletedAt == 0 && !invocation.closed) {
            notifyPolicy(new RequestBodyProgress(invocation.id(), false));
        }
    }

    /** Serves an admitted request of another region like a local one, except that it is never forwarded again. */
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

    /** Restarts the invocation's deadline and the timeouts of its calls once the consumer has sent the whole body. */
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
     * Aborts the calls of an invocation whose consumer disconnected, if the request is idempotent, its response is
     * being streamed, or its body was still arriving and can no longer be completed. Other calls may already be running
     * a request that must not run twice: they continue if the whole request was written, and are aborted otherwise.
     */
    private void onConsumerDisconnected(Invocation invocation) {
        boolean bodyIncomplete = invocation.message.isStreaming() && invocation.bodyCompletedAt == 0;
        for (UpstreamCall call : invocation.calls) {
            call.consumerDisconnected = true;
            if (invocation.idempotent || call.responseStartedAt > 0 || bodyIncomplete) {
                invocations.abort(call, UpstreamCall.StopReason.CANCELLED);
            } else if (!call.ended) {
                context.effects.abortUnlessSent(call);
            }
        }
        withdraw(invocation);
    }

    private void withdraw(Invocation invocation) {
        // An invocation that was rejected before it was accepted is not in the table and has no timer.
        if (invocation.closed || !invocations.contains(invocation)) {
            return;
        }
        invocations.close(invocation);
        // A forwarded call whose answer is no longer needed uses capacity in two regions, so it is cancelled. A request
        // that is not idempotent may already have run, so nothing is gained by ignoring its result.
        for (UpstreamCall call : invocation.calls) {
            if (call.forwardedRequest != null && invocation.idempotent) {
                invocations.abort(call, UpstreamCall.StopReason.CANCELLED);
            }
        }
        invocations.removeIfComplete(invocation);
        notifyPolicy(new RequestWithdrawn(invocation.id()));
    }

    /**
     * Answers the invocation once all of its calls have ended, without waiting for a further decision: the exception
     * may have left the policy with partial or no knowledge of the invocation.
     */
    private void onPolicyDecisionFailed(Invocation invocation) {
        if (invocation.allCallsEnded()) {
            answerWithoutDecision(invocation);
            invocations.removeIfComplete(invocation);
        }
    }

    /**
     * Answers an invocation that the policy has not answered by its deadline, or will not answer after a fault. It is
     * not known when capacity will be available, so the retry delay is the one that the policy uses in that case.
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
    /** Answers the invocation with the started response. The answer is final even if the rest of the body fails. */
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
            invocations.abort(call, UpstreamCall.StopReason.CANCELLED); // the consumer no longer waits for it
            return;
        }
        invocations.answer(invocation, new FinalAnswer.Served(head));
        notifyPolicy(new ResponseStreamStarted(
                invocation.id(), call.provider, call.number, elapsedUntilResponse(call, head)));
    }

    /**
     * Returns the time from sending the complete request to the start of the response, in microseconds. A request body
     * that arrives slowly, or a response body that is written slowly, does not count as work of the provider.
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

    /**
     * Determines the outcome of a call. A call whose request was not completely sent never ran, whatever the reason for
     * aborting it. Otherwise, if the call has no response, the reason for aborting it determines the outcome.
     */
    private static AttemptOutcome determineOutcome(UpstreamCall call, CallResult result) {
        AttemptOutcome outcome = result.outcome();
        if (outcome == AttemptOutcome.CONNECT_FAILED) {
            boolean abortedByConsumer = call.consumerDisconnected
                    || call.stopReason == UpstreamCall.StopReason.CANCELLED && call.invocation.message.isStreaming();
            // An abort by the consumer must not count as a failure of the provider.
            return abortedByConsumer ? AttemptOutcome.NOT_SENT : outcome;
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
     * Answers an invocation whose call to another region ended. Forwarding is the last resort, so its result is final.
     * A failed call becomes a rejection only if a retry is safe, with the longer retry delay of the two regions.
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
        CallResult.ResponseReceived response = result instanceof CallResult.ResponseReceived received ? received : null;
        if (outcome == AttemptOutcome.OK) {
            return new FinalAnswer.Served(response);
        } else if (invocation.idempotent || invocation.neverRan()) {
            long remoteRetryAfter = response != null ? response.retryAfter() : -1;
            return new FinalAnswer.Rejected(
                    Math.max(call.rejectionRetryAfter, remoteRetryAfter), true, invocation.neverRan());
        }
        boolean timedOut =
                response != null ? response.status() == CallResult.TIMEOUT_STATUS : outcome == AttemptOutcome.TIMEOUT;
        return new FinalAnswer.Failed(timedOut);
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
