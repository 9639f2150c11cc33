package reedmux.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import reedmux.policy.Gateway;
import reedmux.policy.Gateway.Actions;
import reedmux.policy.Gateway.AttemptEnded;
import reedmux.policy.Gateway.Outcome;
import reedmux.policy.Gateway.Request;
import reedmux.policy.Gateway.StreamStarted;

/** Messages and answers that are passed on as they come: one answer, honest times, nothing sent twice. */
final class FlowingReducerTest {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000 * MS;
    private static final CallResult.Answered BEGUN =
            new CallResult.Answered(200, false, null, new byte[0], -1, -1, () -> 300_000, 0);
    private static final CallResult WHOLE = new CallResult.Answered(200, false, null, new byte[0]);

    /** A module that sends whatever comes, and sends it again whenever it may. */
    private static final class Eager implements Gateway {
        final List<String> heard = new ArrayList<>();

        @Override
        public void handle(long now, Event event, Actions actions) {
            if (event instanceof Request e) {
                actions.send(e.id(), "p1", 0);
            } else if (event instanceof StreamStarted e) {
                heard.add("begun " + e.took() / MS);
            } else if (event instanceof AttemptEnded e) {
                heard.add(e.outcome() + " " + e.took() / MS);
                if (!e.over() && e.attempt() < 2) {
                    actions.send(e.request(), "p1", 0);
                } else if (!e.over()) {
                    actions.refuse(e.request(), SECOND);
                }
            }
        }
    }

    /** A body that still comes in, of which a provider has had something or not. */
    private static final class Long implements Invocation.Message {
        boolean untouched = true;

        @Override
        public boolean flows() {
            return true;
        }

        @Override
        public boolean sendable() {
            return untouched;
        }
    }

    private final Eager module = new Eager();
    private final ReducerTest.Recorder effects = new ReducerTest.Recorder();
    private final Reducer reducer = new Reducer(module, 4, SECOND / 4, effects);
    private final Long message = new Long();

    FlowingReducerTest() {
        reducer.reduce(0, ReducerTest.ONE_PROVIDER);
    }

    private Invocation take(Invocation.Message of, long deadline) {
        Invocation taken = new Invocation(new Request("a", 0, 0, 7, deadline, 1, 1, 0, false), false, of, answer -> {});
        reducer.reduce(SECOND, new Event.InvocationTaken(taken));
        return taken;
    }

    private void at(long time, Event event) {
        reducer.reduceDue(time);
        reducer.reduce(time, event);
    }

    private void settled(int answers) {
        reducer.reduceDue(1_000 * SECOND);
        assertEquals(answers, effects.answers.size());
        assertEquals(0, reducer.unanswered());
        assertTrue(reducer.idle());
        assertEquals(List.of(), effects.log);
    }

    @Test
    void anAnswerThatHasBegunIsFinalAndItsRestHasNoDeadline() {
        take(new Invocation.Message() {}, 4 * SECOND);
        InvokerCall call = effects.calls.get(0);
        at(SECOND + 30 * MS, new Event.AnswerBegun(call, BEGUN));
        assertEquals(List.of(new Answer.Served(BEGUN)), effects.answers);
        assertEquals(1, reducer.unanswered(), "one that leaves waits for the rest");
        at(60 * SECOND, new Event.CallEnded(call, WHOLE));
        assertEquals(List.of("begun 30", "OK 30"), module.heard);
        assertEquals(List.of(), effects.stopped);
        settled(1);
    }

    /** The module used to take a provider that writes slowly for one that is full, and turned others away. */
    @Test
    void anAnswerThatCameInSlowlyIsJudgedByItsHead() {
        take(new Invocation.Message() {}, 4 * SECOND);
        at(
                2 * SECOND,
                new Event.CallEnded(
                        effects.calls.get(0),
                        new CallResult.Answered(200, false, null, new byte[9], -1, -1, null, 970 * MS)));
        assertEquals(List.of("OK 30"), module.heard);
        settled(1);
    }

    @Test
    void oneThatBreaksAfterItsBeginIsNotTriedAgain() {
        take(new Invocation.Message() {}, 4 * SECOND);
        InvokerCall call = effects.calls.get(0);
        at(SECOND + 30 * MS, new Event.AnswerBegun(call, BEGUN));
        at(2 * SECOND, new Event.CallEnded(call, new CallResult.Broken(CallResult.Stage.ANSWERING, "test")));
        assertEquals(List.of("begun 30", Outcome.RESET + " 30"), module.heard);
        assertEquals(1, effects.calls.size());
        settled(1);
    }

    @Test
    void aConsumerWhoLeavesInTheMiddleEndsTheCallWithoutBlame() {
        Invocation taken = take(new Invocation.Message() {}, 4 * SECOND);
        InvokerCall call = effects.calls.get(0);
        at(SECOND + 30 * MS, new Event.AnswerBegun(call, BEGUN));
        at(2 * SECOND, new Event.ConsumerLeft(taken));
        assertEquals(List.of(call), effects.stopped);
        at(2 * SECOND, new Event.CallEnded(call, new CallResult.Broken(CallResult.Stage.ANSWERING, "test")));
        assertEquals(Outcome.CANCELLED + " 30", module.heard.get(1));
        settled(1);
    }

    @Test
    void anAnswerThatBeginsWhenNobodyWaitsIsStopped() {
        Invocation taken = take(new Invocation.Message() {}, 4 * SECOND);
        InvokerCall call = effects.calls.get(0);
        at(SECOND, new Event.ConsumerLeft(taken));
        at(SECOND + 30 * MS, new Event.AnswerBegun(call, BEGUN));
        assertEquals(List.of(call), effects.stopped);
        at(2 * SECOND, new Event.CallEnded(call, new CallResult.Broken(CallResult.Stage.ANSWERING, "test")));
        settled(0);
    }

    @Test
    void theTimeOfALongBodyRunsFromItsLastByte() {
        Invocation taken = take(message, 600 * SECOND);
        InvokerCall call = effects.calls.get(0);
        at(20 * SECOND, new Event.BodyWhole(taken, 2 * SECOND));
        at(20 * SECOND + 40 * MS, new Event.CallEnded(call, WHOLE));
        assertEquals(List.of("OK 40"), module.heard);
        settled(1);
    }

    @Test
    void itsDeadlineAndItsCallsEndWithThatTime() {
        Invocation taken = take(message, 600 * SECOND);
        at(20 * SECOND, new Event.BodyWhole(taken, 2 * SECOND));
        reducer.reduceDue(22 * SECOND);
        assertEquals(effects.calls, effects.stopped);
        assertEquals(List.of(new Answer.Failed(true)), effects.answers);
        at(
                22 * SECOND,
                new Event.CallEnded(effects.calls.get(0), new CallResult.Broken(CallResult.Stage.ON_WIRE, "test")));
        settled(1);
    }

    @Test
    void whatWasPassedOnIsNotSentAgainAndWhatWasNotMayBe() {
        take(message, 600 * SECOND);
        at(
                SECOND,
                new Event.CallEnded(effects.calls.get(0), new CallResult.Broken(CallResult.Stage.CONNECTING, "test")));
        assertEquals(2, effects.calls.size(), "nothing of it was passed on");
        message.untouched = false;
        at(
                2 * SECOND,
                new Event.CallEnded(effects.calls.get(1), new CallResult.Broken(CallResult.Stage.WRITING, "test")));
        assertEquals(2, effects.calls.size(), "it is gone");
        assertEquals(Outcome.MOOT + " 0", module.heard.get(2));
        assertTrue(((Answer.Rejection) effects.answers.get(0)).neverRan());
        settled(1);
    }

    @Test
    void aBodyThatItsConsumerBreaksOffBlamesNoProvider() {
        Invocation taken = take(message, 600 * SECOND);
        message.untouched = false;
        InvokerCall call = effects.calls.get(0);
        at(2 * SECOND, new Event.ConsumerLeft(taken));
        assertEquals(List.of(call), effects.stopped);
        at(2 * SECOND, new Event.CallEnded(call, new CallResult.Broken(CallResult.Stage.WRITING, "test")));
        assertEquals(List.of(Outcome.MOOT + " 1000"), module.heard);
        settled(0);
    }
}
