package reedmux.gatekeeper.reducer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import reedmux.gatekeeper.policy.TrafficPolicy;
import reedmux.gatekeeper.policy.TrafficPolicy.AttemptEnded;
import reedmux.gatekeeper.policy.TrafficPolicy.AttemptOutcome;
import reedmux.gatekeeper.policy.TrafficPolicy.IncomingRequest;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicyActions;
import reedmux.gatekeeper.policy.TrafficPolicy.ResponseStreamStarted;

/** Tests streamed requests and responses: a single answer, correct latencies, and no retry of a partly sent body. */
public final class StreamingReducerTest {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000 * MS;
    private static final CallResult.ResponseReceived STARTED_RESPONSE =
            new CallResult.ResponseReceived(200, false, null, new byte[0], -1, -1, () -> 300_000, 0);
    private static final CallResult COMPLETE_RESPONSE = new CallResult.ResponseReceived(200, false, null, new byte[0]);

    /** A policy that sends each request and makes up to three attempts before it rejects the request. */
    private static final class AlwaysRetryingPolicy implements TrafficPolicy {
        final List<String> received = new ArrayList<>();

        @Override
        public void handle(long now, PolicyEvent event, PolicyActions actions) {
            if (event instanceof IncomingRequest e) {
                actions.send(e.id(), "p1", 0);
            } else if (event instanceof ResponseStreamStarted e) {
                received.add("started " + e.elapsed() / MS);
            } else if (event instanceof AttemptEnded e) {
                received.add(e.outcome() + " " + e.elapsed() / MS);
                if (!e.requestOver() && e.attempt() < 2) {
                    actions.send(e.request(), "p1", 0);
                } else if (!e.requestOver()) {
                    actions.reject(e.request(), SECOND);
                }
            }
        }
    }

    /** A message whose body is still arriving. {@code unsent} states whether no part of it was sent to a provider. */
    private static final class StreamingMessage implements Invocation.RequestMessage {
        boolean unsent = true;

        @Override
        public boolean isStreaming() {
            return true;
        }

        @Override
        public boolean isSendable() {
            return unsent;
        }
    }

    private final AlwaysRetryingPolicy policy = new AlwaysRetryingPolicy();
    private final ReducerTest.RecordingEffects effects = new ReducerTest.RecordingEffects();
    private final Reducer reducer = new Reducer(policy, 4, SECOND / 4, effects);
    private final StreamingMessage message = new StreamingMessage();

    StreamingReducerTest() {
        reducer.reduce(0, ReducerTest.ONE_PROVIDER);
    }

    private Invocation accept(Invocation.RequestMessage requestMessage, long deadline) {
        Invocation invocation = new Invocation(
                new IncomingRequest("a", 0, 0, 7, deadline, 1, 1, 0, false), false, requestMessage, answer -> {});
        reducer.reduce(SECOND, new ReducerEvent.InvocationAccepted(invocation));
        return invocation;
    }

    private void reduceAt(long time, ReducerEvent event) {
        reducer.reduceDue(time);
        reducer.reduce(time, event);
    }

    private void assertSettled(int answers) {
        reducer.reduceDue(1_000 * SECOND);
        assertEquals(answers, effects.answers.size());
        assertEquals(0, reducer.unansweredCount());
        assertTrue(reducer.isIdle());
        assertEquals(List.of(), effects.log);
    }

    @Test
    void startedResponseIsFinalAndHasNoDeadline() {
        accept(new Invocation.RequestMessage() {}, 4 * SECOND);
        UpstreamCall call = effects.calls.get(0);
        reduceAt(SECOND + 30 * MS, new ReducerEvent.ResponseStarted(call, STARTED_RESPONSE));
        assertEquals(List.of(new FinalAnswer.Served(STARTED_RESPONSE)), effects.answers);
        assertEquals(1, reducer.unansweredCount(), "a response that is still being streamed must count as unanswered");
        reduceAt(60 * SECOND, new ReducerEvent.CallEnded(call, COMPLETE_RESPONSE));
        assertEquals(List.of("started 30", "OK 30"), policy.received);
        assertEquals(List.of(), effects.aborted);
        assertSettled(1);
    }

    /**
     * Guards against needless rejections: the policy took a provider that writes its response slowly for an overloaded
     * one and rejected other requests.
     */
    @Test
    void slowResponseBodyDoesNotCountAsLatency() {
        accept(new Invocation.RequestMessage() {}, 4 * SECOND);
        reduceAt(
                2 * SECOND,
                new ReducerEvent.CallEnded(
                        effects.calls.get(0),
                        new CallResult.ResponseReceived(200, false, null, new byte[9], -1, -1, null, 970 * MS)));
        assertEquals(List.of("OK 30"), policy.received);
        assertSettled(1);
    }

    @Test
    void startedResponseThatBreaksIsNotRetried() {
        accept(new Invocation.RequestMessage() {}, 4 * SECOND);
        UpstreamCall call = effects.calls.get(0);
        reduceAt(SECOND + 30 * MS, new ReducerEvent.ResponseStarted(call, STARTED_RESPONSE));
        reduceAt(
                2 * SECOND,
                new ReducerEvent.CallEnded(
                        call, new CallResult.ConnectionBroken(CallResult.CallStage.RECEIVING_RESPONSE, "test")));
        assertEquals(List.of("started 30", AttemptOutcome.RESET + " 30"), policy.received);
        assertEquals(1, effects.calls.size());
        assertSettled(1);
    }

    @Test
    void disconnectDuringAResponseCancelsTheCall() {
        Invocation invocation = accept(new Invocation.RequestMessage() {}, 4 * SECOND);
        UpstreamCall call = effects.calls.get(0);
        reduceAt(SECOND + 30 * MS, new ReducerEvent.ResponseStarted(call, STARTED_RESPONSE));
        reduceAt(2 * SECOND, new ReducerEvent.ConsumerDisconnected(invocation));
        assertEquals(List.of(call), effects.aborted);
        reduceAt(
                2 * SECOND,
                new ReducerEvent.CallEnded(
                        call, new CallResult.ConnectionBroken(CallResult.CallStage.RECEIVING_RESPONSE, "test")));
        assertEquals(AttemptOutcome.CANCELLED + " 30", policy.received.get(1));
        assertSettled(1);
    }

    /** A call that is aborted while connecting because the consumer disconnected is no provider failure. */
    @Test
    void unsentCallAbortedByADisconnectIsNoProviderFailure() {
        Invocation invocation = accept(new Invocation.RequestMessage() {}, 4 * SECOND);
        UpstreamCall call = effects.calls.get(0);
        reduceAt(SECOND, new ReducerEvent.ConsumerDisconnected(invocation));
        reduceAt(
                SECOND,
                new ReducerEvent.CallEnded(
                        call, new CallResult.ConnectionBroken(CallResult.CallStage.CONNECTING, "test")));
        assertEquals(List.of(AttemptOutcome.NOT_SENT + " 0"), policy.received);
        assertSettled(0);
    }

    @Test
    void responseThatStartsAfterADisconnectIsAborted() {
        Invocation invocation = accept(new Invocation.RequestMessage() {}, 4 * SECOND);
        UpstreamCall call = effects.calls.get(0);
        reduceAt(SECOND, new ReducerEvent.ConsumerDisconnected(invocation));
        reduceAt(SECOND + 30 * MS, new ReducerEvent.ResponseStarted(call, STARTED_RESPONSE));
        assertEquals(List.of(call), effects.aborted);
        reduceAt(
                2 * SECOND,
                new ReducerEvent.CallEnded(
                        call, new CallResult.ConnectionBroken(CallResult.CallStage.RECEIVING_RESPONSE, "test")));
        assertSettled(0);
    }

    @Test
    void latencyOfAStreamedRequestStartsAtItsLastByte() {
        Invocation invocation = accept(message, 600 * SECOND);
        UpstreamCall call = effects.calls.get(0);
        reduceAt(20 * SECOND, new ReducerEvent.RequestBodyCompleted(invocation, 2 * SECOND));
        reduceAt(20 * SECOND + 40 * MS, new ReducerEvent.CallEnded(call, COMPLETE_RESPONSE));
        assertEquals(List.of("OK 40"), policy.received);
        assertSettled(1);
    }

    @Test
    void deadlineOfAStreamedRequestStartsAtItsLastByte() {
        Invocation invocation = accept(message, 600 * SECOND);
        reduceAt(20 * SECOND, new ReducerEvent.RequestBodyCompleted(invocation, 2 * SECOND));
        reducer.reduceDue(22 * SECOND);
        assertEquals(effects.calls, effects.aborted);
        assertEquals(List.of(new FinalAnswer.Failed(true)), effects.answers);
        reduceAt(
                22 * SECOND,
                new ReducerEvent.CallEnded(
                        effects.calls.get(0),
                        new CallResult.ConnectionBroken(CallResult.CallStage.AWAITING_RESPONSE, "test")));
        assertSettled(1);
    }

    @Test
    void streamedRequestIsRetriedOnlyIfItsBodyIsUnsent() {
        accept(message, 600 * SECOND);
        reduceAt(
                SECOND,
                new ReducerEvent.CallEnded(
                        effects.calls.get(0),
                        new CallResult.ConnectionBroken(CallResult.CallStage.CONNECTING, "test")));
        assertEquals(2, effects.calls.size(), "a body that is completely unsent must be retried");
        message.unsent = false;
        reduceAt(
                2 * SECOND,
                new ReducerEvent.CallEnded(
                        effects.calls.get(1), new CallResult.ConnectionBroken(CallResult.CallStage.WRITING, "test")));
        assertEquals(2, effects.calls.size(), "a partly sent body must not be retried");
        assertEquals(AttemptOutcome.NOT_SENT + " 0", policy.received.get(2));
        assertTrue(((FinalAnswer.Rejected) effects.answers.get(0)).neverRan());
        assertSettled(1);
    }

    @Test
    void disconnectDuringARequestBodyAbortsTheCall() {
        Invocation invocation = accept(message, 600 * SECOND);
        message.unsent = false;
        UpstreamCall call = effects.calls.get(0);
        reduceAt(2 * SECOND, new ReducerEvent.ConsumerDisconnected(invocation));
        assertEquals(List.of(call), effects.aborted);
        reduceAt(
                2 * SECOND,
                new ReducerEvent.CallEnded(
                        call, new CallResult.ConnectionBroken(CallResult.CallStage.WRITING, "test")));
        assertEquals(List.of(AttemptOutcome.NOT_SENT + " 1000"), policy.received);
        assertSettled(0);
    }
}
