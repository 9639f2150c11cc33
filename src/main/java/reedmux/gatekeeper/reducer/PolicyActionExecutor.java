package reedmux.gatekeeper.reducer;

import java.net.InetSocketAddress;
import reedmux.gatekeeper.failover.ForwardedRequest;
import reedmux.gatekeeper.policy.TrafficPolicy.AttemptOutcome;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicyActions;

/** Carries out what the policy decides, as effects. */
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
            context.effects.log("send for an unknown request " + request);
            return;
        }
        int number = invocation.calls.size();
        long left = invocation.deadlineAt - context.now;
        InetSocketAddress address = providers.get(server);
        UpstreamCall call = new UpstreamCall(invocation, number, server, address, context.now);
        invocation.calls.add(call);
        boolean pointless = invocation.closed || left <= 0 || number >= maxAttempts || !invocation.message.isSendable();
        if (pointless || address == null) {
            call.ended = true;
            call.neverRan = true;
            AttemptOutcome outcome = pointless ? AttemptOutcome.NOT_SENT : AttemptOutcome.CONNECT_FAILED;
            context.pendingEvents.add(new ReducerEvent.AttemptNotSent(invocation, number, server, outcome));
            return;
        }
        long wait = timeout == 0 ? left : Math.min(left, Math.max(0, timeout));
        setTimers(call, wait);
        startCall(call, () -> context.effects.startCall(call, wait));
    }

    /** A call that could not even be started has certainly not run; it ends like any other. */
    private void startCall(UpstreamCall call, Runnable how) {
        try {
            how.run();
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

    /** No counter service is reached from here: nothing is ever added, and the policy is notified of that. */
    @Override
    public void addToCounter(long name, double amount, long keep) {
        context.pendingEvents.add(new ReducerEvent.CounterUnavailable(name, AttemptOutcome.CONNECT_FAILED));
    }

    /** Discovery is watched without pause from the start, so there is nothing more to ask for. */
    @Override
    public void fetchServers() {}

    /** As for {@link #fetchServers}. */
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
