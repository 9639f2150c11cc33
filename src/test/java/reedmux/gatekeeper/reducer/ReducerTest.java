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

/** What becomes of an invocation whose decision throws, whose call cannot start, or whose consumer leaves. */
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

    /** A module that sends what comes to the one provider, and fails when it is told to. */
    private static final class FaultyPolicy implements TrafficPolicy {
        boolean failAtRequest;
        boolean failAfterSend;
        boolean failAtAttemptEnd;
        boolean failAtWithdrawal;
        final List<String> withdrawn = new ArrayList<>();

        @Override
        public void handle(long now, PolicyEvent event, PolicyActions actions) {
            if (event instanceof IncomingRequest e) {
                fail(failAtRequest);
                actions.send(e.id(), "p1", 0);
                fail(failAfterSend);
            } else if (event instanceof AttemptEnded) {
                fail(failAtAttemptEnd);
            } else if (event instanceof RequestWithdrawn e) {
                withdrawn.add(e.request());
                fail(failAtWithdrawal);
            }
        }

        private static void fail(boolean now) {
            if (now) {
                throw new IllegalStateException("planted");
            }
        }
    }

    /** Notes what the reducer asks for. */
    public static final class RecordingEffects implements ReducerEffects {
        final List<FinalAnswer> answers = new ArrayList<>();
        final List<UpstreamCall> calls = new ArrayList<>();
        final List<UpstreamCall> stopped = new ArrayList<>();
        final List<UpstreamCall> stoppedUnlessSent = new ArrayList<>();
        final List<String> log = new ArrayList<>();
        boolean cannotStart;

        @Override
        public void sendAnswer(Invocation invocation, FinalAnswer answer) {
            answers.add(answer);
        }

        @Override
        public void startCall(UpstreamCall call, long timeout) {
            if (cannotStart) {
                throw new IllegalStateException("no transport");
            }
            calls.add(call);
        }

        @Override
        public void startForwardedCall(UpstreamCall call, ForwardedRequest departure) {}

        @Override
        public void abortConnecting(UpstreamCall call) {}

        @Override
        public void abortUnlessSent(UpstreamCall call) {
            stoppedUnlessSent.add(call);
        }

        @Override
        public void abortCall(UpstreamCall call) {
            stopped.add(call);
        }

        @Override
        public void checkHealth(String provider, InetSocketAddress address, long askedAt) {}

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

    private Invocation accept(String id, boolean repeatable) {
        Invocation taken = invocation(id, repeatable);
        reducer.reduce(SECOND, new ReducerEvent.InvocationAccepted(taken));
        return taken;
    }

    private static Invocation invocation(String id, boolean repeatable) {
        return new Invocation(
                new IncomingRequest(id, 0, 0, 7, DEADLINE, 1, 1, 0, false), repeatable, EMPTY_MESSAGE, answer -> {});
    }

    private void endCall(UpstreamCall call, CallResult result) {
        reducer.reduce(2 * SECOND, new ReducerEvent.CallEnded(call, result));
    }

    private static CallResult brokenAt(CallResult.CallStage stage) {
        return new CallResult.ConnectionBroken(stage, "test");
    }

    /** All is forgotten, and nothing that is due later has anything more to say. */
    private void assertNothingIsKept() {
        assertTrue(reducer.isIdle(), "an invocation is kept");
        assertEquals(0, reducer.unansweredCount());
        int answers = effects.answers.size();
        reducer.reduceDue(2 * DEADLINE);
        assertEquals(answers, effects.answers.size());
    }

    /** It used to wait for its deadline, 3 s here, though nobody would decide on it any more. */
    @Test
    void exceptionOnArrivalRejectsAtOnce() {
        policy.failAtRequest = true;
        accept("a", false);
        FinalAnswer.Rejected answer = (FinalAnswer.Rejected) effects.answers.get(0);
        assertTrue(answer.retryAfter() > 0 && answer.neverRan() && !answer.attempted(), answer + "");
        assertEquals(List.of("a"), policy.withdrawn);
        assertNothingIsKept();
    }

    @Test
    void exceptionAfterTheSendLeavesTheAnswerOfTheCall() {
        policy.failAfterSend = true;
        accept("a", false);
        assertEquals(List.of(), effects.answers);
        endCall(effects.calls.get(0), new CallResult.ResponseReceived(200, false, null, new byte[0]));
        assertTrue(effects.answers.get(0) instanceof FinalAnswer.Served);
        assertNothingIsKept();
    }

    /** One that may have run is never called a rejection, one that cannot have run always is. */
    @Test
    void invocationIsAnsweredAfterAnExceptionWhenItsLastCallEnds() {
        policy.failAfterSend = true;
        accept("a", false);
        endCall(effects.calls.get(0), brokenAt(CallResult.CallStage.AWAITING_RESPONSE));
        assertEquals(new FinalAnswer.Failed(false), effects.answers.get(0));
        accept("b", false);
        endCall(effects.calls.get(1), brokenAt(CallResult.CallStage.CONNECTING));
        assertTrue(effects.answers.get(1) instanceof FinalAnswer.Rejected);
        assertNothingIsKept();
    }

    /** Also where the module throws at everything; an answered one was kept for ever then. */
    @Test
    void exceptionAtTheEndOfACallLeaksNothing() {
        policy.failAtAttemptEnd = true;
        policy.failAtWithdrawal = true;
        accept("a", true);
        endCall(effects.calls.get(0), new CallResult.ResponseReceived(200, false, null, new byte[0]));
        accept("b", true);
        endCall(effects.calls.get(1), brokenAt(CallResult.CallStage.AWAITING_RESPONSE));
        assertEquals(2, effects.answers.size());
        assertTrue(((FinalAnswer.Rejected) effects.answers.get(1)).attempted());
        assertNothingIsKept();
    }

    /** A call whose start throws had no time limits yet, and its end then failed for want of them. */
    @Test
    void callThatCannotStartEndsAsNeverRun() {
        effects.cannotStart = true;
        accept("a", false);
        reducer.reduceDue(DEADLINE);
        assertTrue(((FinalAnswer.Rejected) effects.answers.get(0)).neverRan());
        assertEquals(List.of(), effects.log);
        assertNothingIsKept();
    }

    /** It waited in a queue, was turned away there, and its consumer's leaving was told all the same. */
    @Test
    void aConsumerWhoLeavesBeforeItIsTakenIsNoFault() {
        reducer.reduce(SECOND, new ReducerEvent.ConsumerDisconnected(invocation("a", true)));
        assertEquals(List.of(), effects.log);
        assertEquals(List.of(), policy.withdrawn);
        assertNothingIsKept();
    }

    @Test
    void undecidedInvocationIsRejectedAtItsDeadline() {
        accept("a", true);
        reducer.reduceDue(DEADLINE);
        assertTrue(((FinalAnswer.Rejected) effects.answers.get(0)).retryAfter() > 0);
        assertFalse(reducer.isIdle(), "its call is still out");
        endCall(effects.calls.get(0), brokenAt(CallResult.CallStage.AWAITING_RESPONSE));
        assertNothingIsKept();
    }

    /** What may be repeated is cancelled at its provider; what may not may have run, and is not cut short. */
    @Test
    void aConsumerWhoLeavesTakesItsIdempotentCallsAlong() {
        Invocation idempotent = accept("a", true);
        Invocation effectful = accept("b", false);
        reducer.reduce(SECOND, new ReducerEvent.ConsumerDisconnected(idempotent));
        reducer.reduce(SECOND, new ReducerEvent.ConsumerDisconnected(effectful));
        assertEquals(List.of(effects.calls.get(0)), effects.stopped);
        assertEquals(List.of(effects.calls.get(1)), effects.stoppedUnlessSent, "it is not sent if it was not yet");
        endCall(effects.calls.get(0), brokenAt(CallResult.CallStage.AWAITING_RESPONSE));
        endCall(effects.calls.get(1), new CallResult.ResponseReceived(200, false, null, new byte[0]));
        assertEquals(List.of(), effects.answers);
        assertNothingIsKept();
    }

    /** At each stage after its arrival: no answer, no second call, nothing kept. */
    @Test
    void aConsumerWhoLeavesLeavesNothingBehind() {
        Invocation out = accept("a", false);
        reducer.reduce(SECOND, new ReducerEvent.ConsumerDisconnected(out));
        endCall(effects.calls.get(0), brokenAt(CallResult.CallStage.WRITING));
        Invocation answered = accept("b", false);
        endCall(effects.calls.get(1), new CallResult.ResponseReceived(200, false, null, new byte[0]));
        reducer.reduce(2 * SECOND, new ReducerEvent.ConsumerDisconnected(answered));
        assertEquals(1, effects.answers.size());
        assertEquals(2, effects.calls.size());
        assertEquals(List.of("a"), policy.withdrawn);
        assertNothingIsKept();
    }
}
