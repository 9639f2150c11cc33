package reedmux.gatekeeper.reducer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import reedmux.gatekeeper.failover.ForwardedRequest;
import reedmux.gatekeeper.policy.TrafficPolicy;
import reedmux.gatekeeper.policy.TrafficPolicy.AttemptEnded;
import reedmux.gatekeeper.policy.TrafficPolicy.IncomingRequest;
import reedmux.gatekeeper.policy.TrafficPolicy.ListedServer;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicyActions;
import reedmux.gatekeeper.policy.TrafficPolicy.RequestWithdrawn;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerListScope;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerStatus;

/** Tests invocations whose policy decision throws, whose call cannot start or whose consumer disconnects. */
public final class ReducerTest {
    private static final long SECOND = 1_000_000;
    private static final long DEADLINE = 4 * SECOND;
    static final ReducerEvent ONE_PROVIDER = new ReducerEvent.ProvidersUpdated(new ProviderList(
            ServerListScope.FULL,
            1,
            List.of(new ProviderList.ListedProvider(
                    new ListedServer("p1", 0, 0, 0, ServerStatus.READY, 1, 0),
                    InetSocketAddress.createUnresolved("p1", 1)))));
    private static final Invocation.RequestMessage EMPTY_MESSAGE = new Invocation.RequestMessage() {};

    /** A policy that sends each request to the only provider, and throws at the events selected by its flags. */
    private static final class FaultyPolicy implements TrafficPolicy {
        boolean failAtRequest;
        boolean failAfterSend;
        boolean failAtAttemptEnd;
        boolean failAtWithdrawal;
        final List<String> withdrawn = new ArrayList<>();

        @Override
        public void handle(long now, PolicyEvent event, PolicyActions actions) {
            if (event instanceof IncomingRequest e) {
                throwIf(failAtRequest);
                actions.send(e.id(), "p1", 0);
                throwIf(failAfterSend);
            } else if (event instanceof AttemptEnded) {
                throwIf(failAtAttemptEnd);
            } else if (event instanceof RequestWithdrawn e) {
                withdrawn.add(e.request());
                throwIf(failAtWithdrawal);
            }
        }

        private static void throwIf(boolean injectFault) {
            if (injectFault) {
                throw new IllegalStateException("injected fault");
            }
        }
    }

    /** Records the effects that the reducer requests. */
    public static final class RecordingEffects implements ReducerEffects {
        final List<FinalAnswer> answers = new ArrayList<>();
        final List<UpstreamCall> calls = new ArrayList<>();
        final List<UpstreamCall> aborted = new ArrayList<>();
        final List<UpstreamCall> abortedUnlessSent = new ArrayList<>();
        final List<String> log = new ArrayList<>();
        boolean failCallStart;

        @Override
        public void sendAnswer(Invocation invocation, FinalAnswer answer) {
            answers.add(answer);
        }

        @Override
        public void startCall(UpstreamCall call, long timeout) {
            if (failCallStart) {
                throw new IllegalStateException("no transport");
            }
            calls.add(call);
        }

        @Override
        public void startForwardedCall(UpstreamCall call, ForwardedRequest forwarded) {}

        @Override
        public void abortConnecting(UpstreamCall call) {}

        @Override
        public void abortUnlessSent(UpstreamCall call) {
            abortedUnlessSent.add(call);
        }

        @Override
        public void abortCall(UpstreamCall call) {
            aborted.add(call);
        }

        @Override
        public void checkHealth(String provider, InetSocketAddress address, long startedAt) {}

        @Override
        public void closeIdleConnections(String provider, InetSocketAddress address) {}

        @Override
        public void sendToPeer(int peer, byte[] bytes) {}

        @Override
        public void log(String line) {
            log.add(line);
        }
    }

    private final FaultyPolicy policy = new FaultyPolicy();
    private final RecordingEffects effects = new RecordingEffects();
    private final Reducer reducer = new Reducer(policy, 4, SECOND / 4, effects);

    ReducerTest() {
        reducer.reduce(0, ONE_PROVIDER);
    }

    private Invocation accept(String id, boolean idempotent) {
        Invocation invocation = newInvocation(id, idempotent);
        reducer.reduce(SECOND, new ReducerEvent.InvocationAccepted(invocation));
        return invocation;
    }

    private static Invocation newInvocation(String id, boolean idempotent) {
        return new Invocation(
                new IncomingRequest(id, 0, 0, 7, DEADLINE, 1, 1, 0, false), idempotent, EMPTY_MESSAGE, answer -> {});
    }

    private void endCall(UpstreamCall call, CallResult result) {
        reducer.reduce(2 * SECOND, new ReducerEvent.CallEnded(call, result));
    }

    private static CallResult brokenAt(CallResult.CallStage stage) {
        return new CallResult.ConnectionBroken(stage, "test");
    }

    /** Asserts that no invocation is in flight, and that the remaining timers cause no further answers. */
    private void assertNoInvocationLeft() {
        assertTrue(reducer.isIdle(), "an invocation is still in flight");
        assertEquals(0, reducer.unansweredCount());
        int answers = effects.answers.size();
        reducer.reduceDue(2 * DEADLINE);
        assertEquals(answers, effects.answers.size());
    }

    /**
     * Guards against an invocation that waits for its deadline, 3 s here, although the policy threw and will not decide
     * on it again.
     */
    @Test
    void exceptionOnArrivalRejectsAtOnce() {
        policy.failAtRequest = true;
        accept("a", false);
        FinalAnswer.Rejected answer = (FinalAnswer.Rejected) effects.answers.get(0);
        assertTrue(answer.retryAfter() > 0 && answer.neverRan() && !answer.attempted(), answer + "");
        assertEquals(List.of("a"), policy.withdrawn);
        assertNoInvocationLeft();
    }

    @Test
    void exceptionAfterSendDoesNotAffectTheResponse() {
        policy.failAfterSend = true;
        accept("a", false);
        assertEquals(List.of(), effects.answers);
        endCall(effects.calls.get(0), new CallResult.ResponseReceived(200, false, null, new byte[0]));
        assertTrue(effects.answers.get(0) instanceof FinalAnswer.Served);
        assertNoInvocationLeft();
    }

    /** A non-idempotent request that may have run is reported as failed, one that cannot have run as rejected. */
    @Test
    void exceptionAfterSendIsAnsweredWhenTheLastCallEnds() {
        policy.failAfterSend = true;
        accept("a", false);
        endCall(effects.calls.get(0), brokenAt(CallResult.CallStage.AWAITING_RESPONSE));
        assertEquals(new FinalAnswer.Failed(false), effects.answers.get(0));
        accept("b", false);
        endCall(effects.calls.get(1), brokenAt(CallResult.CallStage.CONNECTING));
        assertTrue(effects.answers.get(1) instanceof FinalAnswer.Rejected);
        assertNoInvocationLeft();
    }

    /**
     * Guards against a leak: an answered invocation was never removed if the policy threw at the end of its call. The
     * policy here also throws at withdrawals.
     */
    @Test
    void exceptionAtCallEndDoesNotLeakTheInvocation() {
        policy.failAtAttemptEnd = true;
        policy.failAtWithdrawal = true;
        accept("a", true);
        endCall(effects.calls.get(0), new CallResult.ResponseReceived(200, false, null, new byte[0]));
        accept("b", true);
        endCall(effects.calls.get(1), brokenAt(CallResult.CallStage.AWAITING_RESPONSE));
        assertEquals(2, effects.answers.size());
        assertTrue(((FinalAnswer.Rejected) effects.answers.get(1)).attempted());
        assertNoInvocationLeft();
    }

    /** Guards against a fault at the end of a call whose start threw before its timers were set. */
    @Test
    void callThatCannotStartIsReportedAsNeverRun() {
        effects.failCallStart = true;
        accept("a", false);
        reducer.reduceDue(DEADLINE);
        assertTrue(((FinalAnswer.Rejected) effects.answers.get(0)).neverRan());
        assertEquals(List.of(), effects.log);
        assertNoInvocationLeft();
    }

    /**
     * A disconnect is also reported for an invocation that was rejected while it was queued, before the reducer
     * accepted it.
     */
    @Test
    void disconnectBeforeAcceptanceIsIgnored() {
        reducer.reduce(SECOND, new ReducerEvent.ConsumerDisconnected(newInvocation("a", true)));
        assertEquals(List.of(), effects.log);
        assertEquals(List.of(), policy.withdrawn);
        assertNoInvocationLeft();
    }

    @Test
    void undecidedInvocationIsRejectedAtItsDeadline() {
        accept("a", true);
        reducer.reduceDue(DEADLINE);
        assertTrue(((FinalAnswer.Rejected) effects.answers.get(0)).retryAfter() > 0);
        assertFalse(reducer.isIdle(), "its call has not ended yet");
        endCall(effects.calls.get(0), brokenAt(CallResult.CallStage.AWAITING_RESPONSE));
        assertNoInvocationLeft();
    }

    /**
     * The call of an idempotent request is aborted. Any other request may already be running, so its call is aborted
     * only if it is unsent.
     */
    @Test
    void disconnectAbortsIdempotentCalls() {
        Invocation idempotent = accept("a", true);
        Invocation nonIdempotent = accept("b", false);
        reducer.reduce(SECOND, new ReducerEvent.ConsumerDisconnected(idempotent));
        reducer.reduce(SECOND, new ReducerEvent.ConsumerDisconnected(nonIdempotent));
        assertEquals(List.of(effects.calls.get(0)), effects.aborted);
        assertEquals(
                List.of(effects.calls.get(1)),
                effects.abortedUnlessSent,
                "a call that is not idempotent must be aborted only if it is unsent");
        endCall(effects.calls.get(0), brokenAt(CallResult.CallStage.AWAITING_RESPONSE));
        endCall(effects.calls.get(1), new CallResult.ResponseReceived(200, false, null, new byte[0]));
        assertEquals(List.of(), effects.answers);
        assertNoInvocationLeft();
    }

    /** A disconnect during the call or after the answer causes no answer, no second call and no leak. */
    @Test
    void disconnectDoesNotLeakTheInvocation() {
        Invocation inFlight = accept("a", false);
        reducer.reduce(SECOND, new ReducerEvent.ConsumerDisconnected(inFlight));
        endCall(effects.calls.get(0), brokenAt(CallResult.CallStage.WRITING));
        Invocation answered = accept("b", false);
        endCall(effects.calls.get(1), new CallResult.ResponseReceived(200, false, null, new byte[0]));
        reducer.reduce(2 * SECOND, new ReducerEvent.ConsumerDisconnected(answered));
        assertEquals(1, effects.answers.size());
        assertEquals(2, effects.calls.size());
        assertEquals(List.of("a"), policy.withdrawn);
        assertNoInvocationLeft();
    }
}
