package reedmux.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import reedmux.policy.Gateway;
import reedmux.policy.Gateway.Actions;
import reedmux.policy.Gateway.AttemptEnded;
import reedmux.policy.Gateway.Request;
import reedmux.policy.Gateway.Scope;
import reedmux.policy.Gateway.Server;
import reedmux.policy.Gateway.Status;
import reedmux.policy.Gateway.Withdrawn;
import reedmux.region.Departure;

/** What becomes of an invocation whose decision throws, whose call cannot start, or whose consumer leaves. */
final class ReducerTest {
    private static final long SECOND = 1_000_000;
    private static final long DEADLINE = 4 * SECOND;
    static final Event ONE_PROVIDER = new Event.ProvidersTold(new ProviderList(
            Scope.FULL,
            1,
            List.of(new ProviderList.Provider(
                    new Server("p1", 0, 0, 0, Status.READY, 1, 0), InetSocketAddress.createUnresolved("p1", 1)))));
    private static final Invocation.Message NOTHING = new Invocation.Message() {};

    /** A module that sends what comes to the one provider, and fails when it is told to. */
    private static final class Faulty implements Gateway {
        boolean atRequest;
        boolean afterSend;
        boolean atEnd;
        boolean atWithdrawal;
        final List<String> withdrawn = new ArrayList<>();

        @Override
        public void handle(long now, Event event, Actions actions) {
            if (event instanceof Request e) {
                fail(atRequest);
                actions.send(e.id(), "p1", 0);
                fail(afterSend);
            } else if (event instanceof AttemptEnded) {
                fail(atEnd);
            } else if (event instanceof Withdrawn e) {
                withdrawn.add(e.request());
                fail(atWithdrawal);
            }
        }

        private static void fail(boolean now) {
            if (now) {
                throw new IllegalStateException("planted");
            }
        }
    }

    /** Notes what the reducer asks for. */
    static final class Recorder implements Effects {
        final List<Answer> answers = new ArrayList<>();
        final List<InvokerCall> calls = new ArrayList<>();
        final List<InvokerCall> stopped = new ArrayList<>();
        final List<String> log = new ArrayList<>();
        boolean cannotStart;

        @Override
        public void answer(Invocation invocation, Answer answer) {
            answers.add(answer);
        }

        @Override
        public void call(InvokerCall call, long timeout) {
            if (cannotStart) {
                throw new IllegalStateException("no transport");
            }
            calls.add(call);
        }

        @Override
        public void callAway(InvokerCall call, Departure departure) {}

        @Override
        public void stopConnecting(InvokerCall call) {}

        @Override
        public void stop(InvokerCall call) {
            stopped.add(call);
        }

        @Override
        public void probe(String provider, InetSocketAddress address, long askedAt) {}

        @Override
        public void closeIdle(String provider, InetSocketAddress address) {}

        @Override
        public void tell(int peer, byte[] bytes) {}

        @Override
        public void log(String line) {
            log.add(line);
        }
    }

    private final Faulty module = new Faulty();
    private final Recorder effects = new Recorder();
    private final Reducer reducer = new Reducer(module, 4, SECOND / 4, effects);

    ReducerTest() {
        reducer.reduce(0, ONE_PROVIDER);
    }

    private Invocation take(String id, boolean repeatable) {
        Invocation taken = invocation(id, repeatable);
        reducer.reduce(SECOND, new Event.InvocationTaken(taken));
        return taken;
    }

    private static Invocation invocation(String id, boolean repeatable) {
        return new Invocation(new Request(id, 0, 0, 7, DEADLINE, 1, 1, 0, false), repeatable, NOTHING, answer -> {});
    }

    private void ends(InvokerCall call, CallResult result) {
        reducer.reduce(2 * SECOND, new Event.CallEnded(call, result));
    }

    private static CallResult broken(CallResult.Stage stage) {
        return new CallResult.Broken(stage, "test");
    }

    /** All is forgotten, and nothing that is due later has anything more to say. */
    private void nothingIsLeft() {
        assertTrue(reducer.idle(), "an invocation is kept");
        assertEquals(0, reducer.unanswered());
        int answers = effects.answers.size();
        reducer.reduceDue(2 * DEADLINE);
        assertEquals(answers, effects.answers.size());
    }

    /** It used to wait for its deadline, 3 s here, though nobody would decide on it any more. */
    @Test
    void whoseDecisionThrowsOnArrivalIsTurnedAwayAtOnceWithAdvice() {
        module.atRequest = true;
        take("a", false);
        Answer.Rejection answer = (Answer.Rejection) effects.answers.get(0);
        assertTrue(answer.retryAfter() > 0 && answer.neverRan() && !answer.tried(), answer + "");
        assertEquals(List.of("a"), module.withdrawn);
        nothingIsLeft();
    }

    @Test
    void whoseDecisionThrowsAfterTheSendHasTheAnswerOfItsCall() {
        module.afterSend = true;
        take("a", false);
        assertEquals(List.of(), effects.answers);
        ends(effects.calls.get(0), new CallResult.Answered(200, false, null, new byte[0]));
        assertTrue(effects.answers.get(0) instanceof Answer.Served);
        nothingIsLeft();
    }

    /** One that may have run is never called a rejection, one that cannot have run always is. */
    @Test
    void whoseDecisionThrewIsAnsweredWhenItsLastCallEnds() {
        module.afterSend = true;
        take("a", false);
        ends(effects.calls.get(0), broken(CallResult.Stage.ON_WIRE));
        assertEquals(new Answer.Failed(false), effects.answers.get(0));
        take("b", false);
        ends(effects.calls.get(1), broken(CallResult.Stage.CONNECTING));
        assertTrue(effects.answers.get(1) instanceof Answer.Rejection);
        nothingIsLeft();
    }

    /** Also where the module throws at everything; an answered one was kept for ever then. */
    @Test
    void aThrowAtACallsEndKeepsNothing() {
        module.atEnd = true;
        module.atWithdrawal = true;
        take("a", true);
        ends(effects.calls.get(0), new CallResult.Answered(200, false, null, new byte[0]));
        take("b", true);
        ends(effects.calls.get(1), broken(CallResult.Stage.ON_WIRE));
        assertEquals(2, effects.answers.size());
        assertTrue(((Answer.Rejection) effects.answers.get(1)).tried());
        nothingIsLeft();
    }

    /** A call whose start throws had no time limits yet, and its end then failed for want of them. */
    @Test
    void aCallThatCannotStartEndsAsNeverRun() {
        effects.cannotStart = true;
        take("a", false);
        reducer.reduceDue(DEADLINE);
        assertTrue(((Answer.Rejection) effects.answers.get(0)).neverRan());
        assertEquals(List.of(), effects.log);
        nothingIsLeft();
    }

    /** It waited in a queue, was turned away there, and its consumer's leaving was told all the same. */
    @Test
    void aConsumerWhoLeavesBeforeItIsTakenIsNoFault() {
        reducer.reduce(SECOND, new Event.ConsumerLeft(invocation("a", true)));
        assertEquals(List.of(), effects.log);
        assertEquals(List.of(), module.withdrawn);
        nothingIsLeft();
    }

    @Test
    void whatTheModuleHoldsIsAnsweredAtItsDeadlineWithAdvice() {
        take("a", true);
        reducer.reduceDue(DEADLINE);
        assertTrue(((Answer.Rejection) effects.answers.get(0)).retryAfter() > 0);
        assertFalse(reducer.idle(), "its call is still out");
        ends(effects.calls.get(0), broken(CallResult.Stage.ON_WIRE));
        nothingIsLeft();
    }

    /** At each stage after its arrival: no answer, no second call, nothing kept. */
    @Test
    void aConsumerWhoLeavesLeavesNothingBehind() {
        Invocation out = take("a", false);
        reducer.reduce(SECOND, new Event.ConsumerLeft(out));
        ends(effects.calls.get(0), broken(CallResult.Stage.WRITING));
        Invocation answered = take("b", false);
        ends(effects.calls.get(1), new CallResult.Answered(200, false, null, new byte[0]));
        reducer.reduce(2 * SECOND, new Event.ConsumerLeft(answered));
        assertEquals(1, effects.answers.size());
        assertEquals(2, effects.calls.size());
        assertEquals(List.of("a"), module.withdrawn);
        nothingIsLeft();
    }
}
