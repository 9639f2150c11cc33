package reedmux.gatekeeper.reducer;

import java.net.InetSocketAddress;
import reedmux.gatekeeper.failover.ForwardedRequest;
import reedmux.gatekeeper.policy.TrafficPolicy.AttemptOutcome;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicyActions;

/** Executes the actions that the policy requests, as effects and pending events. */
final class PolicyActionExecutor implements PolicyActions {
    private final ReducerContext context;
    private final InvocationTable invocations;
    private final ProviderAddresses providers;
    private final int maxAttempts;
    private final long connectTimeout;

    PolicyActionExecutor(
            ReducerContext context,
            InvocationTable invocations,
            ProviderAddresses providers,
            int maxAttempts,
            long connectTimeout) {
        this.context = context;
        this.invocations = invocations;
        this.providers = providers;
        this.maxAttempts = maxAttempts;
        this.connectTimeout = connectTimeout;
    }

    @Override
    public void send(String request, String server, long timeout) {
        Invocation invocation = invocations.find(request);
        if (invocation == null) {
            context.effects.log("policy sent an attempt for unknown request " + request);
            return;
        }
        int number = invocation.calls.size();
        long remaining = invocation.deadlineAt - context.now;
        InetSocketAddress address = providers.get(server);
        UpstreamCall call = new UpstreamCall(invocation, number, server, address, context.now);
        invocation.calls.add(call);
        boolean notSendable =
                invocation.closed || remaining <= 0 || number >= maxAttempts || !invocation.message.isSendable();
        if (notSendable || address == null) {
            call.ended = true;
            call.neverRan = true;
            AttemptOutcome outcome = notSendable ? AttemptOutcome.NOT_SENT : AttemptOutcome.CONNECT_FAILED;
            context.pendingEvents.add(new ReducerEvent.AttemptNotSent(invocation, number, server, outcome));
            return;
        }
        long callTimeout = timeout == 0 ? remaining : Math.min(remaining, Math.max(0, timeout));
        setTimers(call, callTimeout);
        startCall(call, () -> context.effects.startCall(call, callTimeout));
    }

    /**
     * Starts a call. If that throws, the request certainly did not run, and the call ends like one whose connection
     * could not be opened.
     */
    private void startCall(UpstreamCall call, Runnable startEffect) {
        try {
            startEffect.run();
        } catch (RuntimeException e) {
            CallResult result = new CallResult.ConnectionBroken(CallResult.CallStage.CONNECTING, String.valueOf(e));
            context.pendingEvents.add(new ReducerEvent.CallEnded(call, result));
        }
    }

    private void setTimers(UpstreamCall call, long timeout) {
        call.timeoutTimer = context.timers.set(context.now + timeout, new ReducerEvent.CallTimeoutExpired(call));
        call.connectTimer =
                context.timers.set(context.now + connectTimeout, new ReducerEvent.ConnectTimeoutExpired(call));
    }

    @Override
    public void reject(String request, long retryAfter) {
        Invocation invocation = invocations.find(request);
        if (invocation != null) {
            boolean attempted = !invocation.calls.isEmpty();
            boolean neverRan = !attempted || invocation.neverRan();
            invocations.answer(invocation, new FinalAnswer.Rejected(retryAfter, attempted, neverRan));
            invocations.removeIfComplete(invocation);
        }
    }

    @Override
    public boolean forwardToRegion(String request, long retryAfter) {
        RegionCoordinator regions = context.regions;
        Invocation invocation = invocations.find(request);
        if (regions == null || invocation == null || invocation.closed || invocation.message.isStreaming()) {
            return false;
        }
        regions.recordLocalResult(invocation, context.now, false);
        int number = invocation.calls.size();
        ForwardedRequest forwarded = regions.forward(invocation, maxAttempts - number, context.now);
        if (forwarded == null) {
            return false;
        }
        String gateway = forwarded.gateway();
        UpstreamCall call = new UpstreamCall(
                invocation, number, gateway, regions.gatewayAddress(gateway), context.now, forwarded, retryAfter);
        invocation.calls.add(call);
        setTimers(call, forwarded.timeoutMicros());
        startCall(call, () -> context.effects.startForwardedCall(call, forwarded));
        return true;
    }

    @Override
    public void fail(String request) {
        Invocation invocation = invocations.find(request);
        if (invocation != null) {
            int calls = invocation.calls.size();
            boolean timedOut =
                    calls > 0 && invocation.calls.get(calls - 1).stopReason == UpstreamCall.StopReason.TIMED_OUT;
            invocations.answer(invocation, new FinalAnswer.Failed(timedOut));
            invocations.removeIfComplete(invocation);
        }
    }

    @Override
    public void cancelAttempt(String request, int attempt) {
        Invocation invocation = invocations.find(request);
        if (invocation != null && attempt < invocation.calls.size()) {
            invocations.abort(invocation.calls.get(attempt), UpstreamCall.StopReason.CANCELLED);
        }
    }

    @Override
    public void checkHealth(String server) {
        InetSocketAddress address = providers.get(server);
        if (address != null) {
            context.effects.checkHealth(server, address, context.now);
        }
    }

    @Override
    public void closeIdleConnections(String server) {
        InetSocketAddress address = providers.get(server);
        if (address != null) {
            context.effects.closeIdleConnections(server, address);
        }
    }

    @Override
    public void sendToPeer(int peer, byte[] bytes) {
        context.effects.sendToPeer(peer, bytes);
    }

    /** Reports {@link ReducerEvent.CounterUnavailable} to the policy, since this gatekeeper has no counter service. */
    @Override
    public void addToCounter(long name, double amount, long keep) {
        context.pendingEvents.add(new ReducerEvent.CounterUnavailable(name, AttemptOutcome.CONNECT_FAILED));
    }

    /** Does nothing, since discovery is watched continuously from the start. */
    @Override
    public void fetchServers() {}

    /** Does nothing, for the same reason as {@link #fetchServers}. */
    @Override
    public void watchServers(boolean on) {}

    @Override
    public void setTimer(long at, long token) {
        context.timers.set(at, new ReducerEvent.PolicyTimerExpired(token));
    }

    @Override
    public void log(String line) {
        context.effects.log(line);
    }
}
