package reedmux.attempt;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reedmux.budget.RetryBudget;
import reedmux.choice.Roster;
import reedmux.fleet.Incarnation;
import reedmux.item.Route;
import reedmux.message.Head;

/** Each stage at which a sending may end, and what becomes of the request. */
public class RequestsTest {
    private static final long MILLI = 1000;

    private record Later(long at, int number, Event event) {}

    private static final class World implements Requests.Effects {
        final Roster roster = new Roster("me", "here", 1);
        final RetryBudget budget;
        final Requests requests;
        final List<Try> sent = new ArrayList<>();
        final List<Answer> answers = new ArrayList<>();
        final List<Exchange> answered = new ArrayList<>();
        final PriorityQueue<Later> later = new PriorityQueue<>((one, other) ->
                one.at() != other.at() ? Long.compare(one.at(), other.at()) : one.number() - other.number());
        int neverRan;
        boolean whole = true;
        int priority = 1;
        long now = 1_000_000;

        World(int checkers, double slack) {
            budget = new RetryBudget(0.2, slack, false);
            for (int i = 0; i < checkers; i++) {
                roster.told(
                        new Incarnation(
                                "c" + i,
                                "desk",
                                "10.0.0." + (i + 1) + ":80",
                                "here",
                                3,
                                Incarnation.READY,
                                1,
                                0,
                                false),
                        now);
            }
            requests = new Requests(this, roster, budget, 1);
        }

        Exchange take(boolean repeatable, int attempts) {
            return take(repeatable, attempts, 1500);
        }

        Exchange take(boolean repeatable, int attempts, long millis) {
            Route route = new Route(
                    "r",
                    "h",
                    "/",
                    repeatable,
                    2000 * MILLI,
                    400 * MILLI,
                    priority,
                    List.of(new Route.Part("desk", 1)),
                    attempts,
                    true);
            Exchange exchange = new Exchange(
                    route,
                    null,
                    new Exchange.Source() {
                        @Override
                        public boolean sendable() {
                            return true;
                        }

                        @Override
                        public boolean large() {
                            return false;
                        }

                        @Override
                        public boolean whole() {
                            return whole;
                        }
                    },
                    now,
                    now + millis * MILLI);
            requests.on(now, new Event.Taken(exchange));
            return exchange;
        }

        /** What an end is: not connected, a shed, silence that breaks, an answer. */
        void end(Try what, String how) {
            if (!how.equals("unreached")) {
                what.connected();
            }
            Verdict verdict =
                    switch (how) {
                        case "unreached", "shed", "moved" -> Verdict.NOT_RUN;
                        case "half sent", "broken" -> Verdict.MAY_HAVE_RUN;
                        default -> Verdict.RAN;
                    };
            int status =
                    switch (how) {
                        case "shed" -> 503;
                        case "moved" -> 421;
                        case "failed" -> 500;
                        default -> 200;
                    };
            boolean none = how.equals("unreached") || how.equals("half sent") || how.equals("broken");
            requests.on(
                    now,
                    new Event.Ended(
                            what,
                            verdict,
                            none
                                    ? null
                                    : new Answer.OfChecker(
                                            Head.answer(status), new byte[0], verdict == Verdict.NOT_RUN)));
        }

        void run(long until) {
            while (!later.isEmpty() && later.peek().at() <= until) {
                Later next = later.poll();
                now = Math.max(now, next.at());
                requests.on(now, next.event());
            }
            now = until;
        }

        @Override
        public void send(Try what) {
            sent.add(what);
        }

        @Override
        public void giveUp(Try what) {
            requests.on(now, new Event.Ended(what, what.up() && whole ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN, null));
        }

        @Override
        public void answer(Exchange exchange, Answer answer) {
            answers.add(answer);
            assertFalse(answered.contains(exchange), "answered twice");
            answered.add(exchange);
        }

        @Override
        public void neverRan(Exchange exchange) {
            neverRan++;
        }

        @Override
        public void later(long at, Event event) {
            later.add(new Later(at, later.size(), event));
        }
    }

    private static int status(Answer answer) {
        return answer instanceof Answer.Own own
                ? own.status()
                : ((Answer.OfChecker) answer).head().status();
    }

    /**
     * How the first sending ends; what of a repeatable and of another request: sendings, and the answer's
     * status.
     */
    @DataProvider
    public Object[][] stages() {
        return new Object[][] {
            {"unreached", 2, 200, 2, 200},
            {"half sent", 2, 200, 1, 502},
            {"shed", 2, 200, 2, 200},
            {"moved", 2, 200, 2, 200},
            {"broken", 2, 200, 1, 502},
            {"failed", 2, 200, 1, 500},
            {"served", 1, 200, 1, 200}
        };
    }

    @Test(dataProvider = "stages")
    public void eachStageOfAFirstSending(String how, int sendings, int status, int sendingsOnce, int statusOnce) {
        for (boolean repeatable : new boolean[] {true, false}) {
            World world = new World(3, 100);
            world.take(repeatable, 2);
            world.end(world.sent.get(0), how);
            assertEquals(world.sent.size(), repeatable ? sendings : sendingsOnce, how);
            if (world.answers.isEmpty()) {
                world.end(world.sent.get(1), "served");
            }
            assertEquals(status(world.answers.get(0)), repeatable ? status : statusOnce, how);
            assertEquals(world.answers.size(), 1);
        }
    }

    /** All pairs of ends: what may have run is never said to be not run, nor sent again unless repeatable. */
    @Test
    public void whatMayHaveRunIsNeverPromisedNotToHave() {
        String[] ends = {"unreached", "half sent", "shed", "moved", "broken", "failed", "served"};
        for (String first : ends) {
            for (String second : ends) {
                for (boolean repeatable : new boolean[] {true, false}) {
                    World world = new World(2, 100);
                    world.take(repeatable, 2);
                    world.end(world.sent.get(0), first);
                    List<String> run = List.of("half sent", "broken", "failed", "served");
                    boolean may = run.contains(first);
                    assertTrue(!may || repeatable || world.sent.size() == 1);
                    if (world.sent.size() > 1) {
                        world.end(world.sent.get(1), second);
                        may |= run.contains(second);
                    }
                    world.run(world.now + 3000 * MILLI);
                    assertEquals(world.answers.size(), 1, first + ", " + second);
                    int status = status(world.answers.get(0));
                    assertFalse(may && (status == 503 || status == 429 || status == 421), first + ", " + second);
                    assertTrue(may || status == 503 && ((Answer.Own) world.answers.get(0)).retryAfter() > 0);
                    assertEquals(world.neverRan, may ? 0 : 1);
                }
            }
        }
    }

    @Test
    public void aCheckerThatSaysNothingIsNoReasonToEndSooner() {
        World world = new World(1, 100);
        world.take(false, 2);
        world.sent.get(0).connected();
        world.run(world.now + 1499 * MILLI);
        assertTrue(world.answers.isEmpty());
        world.run(world.now + 2 * MILLI);
        assertEquals(status(world.answers.get(0)), 504);
    }

    /** A checker that falls silent for good does not keep its place for good. */
    @Test
    public void whoNeverAnswersIsNotCountedAsBusyForEver() {
        World world = new World(1, 100);
        world.take(false, 2);
        world.sent.get(0).connected();
        world.run(world.now + 5000 * MILLI);
        assertEquals(world.roster.get("c0").inFlight(), 0);
        assertEquals(world.answers.size(), 1);
    }

    @Test
    public void whatIsNotWholeEndsWithItsClient() {
        World world = new World(1, 100);
        world.whole = false;
        Exchange exchange = world.take(false, 2);
        world.sent.get(0).connected();
        world.requests.on(world.now, new Event.ClientLeft(exchange));
        assertEquals(world.roster.get("c0").inFlight(), 0);
        assertTrue(world.answers.isEmpty());
    }

    @Test
    public void aSlowRepeatableRequestHasASecondChance() {
        World world = new World(2, 100);
        world.take(true, 2);
        world.sent.get(0).connected();
        world.run(world.now + 300 * MILLI);
        assertEquals(world.sent.size(), 2);
        world.end(world.sent.get(1), "broken");
        assertTrue(world.answers.isEmpty()); // the first is still under way
        world.end(world.sent.get(0), "served");
        assertEquals(status(world.answers.get(0)), 200);
    }

    @Test
    public void furtherTriesStayWithinTheBudget() {
        World world = new World(12, 10);
        int requests = 400;
        int arrivals = 0;
        for (int i = 0; i < requests; i++) {
            int before = world.sent.size();
            world.take(true, 3);
            for (int at = before; at < world.sent.size(); at++) {
                arrivals++;
                world.end(world.sent.get(at), "broken");
            }
            world.run(world.now + 500 * MILLI);
        }
        assertTrue(arrivals - requests <= 0.2 * requests + 10, arrivals + " arrivals");
        assertTrue(arrivals - requests > 0.05 * requests, arrivals + " arrivals");
    }

    @Test
    public void whoFindsNoRoomIsToldEarlyWhenToComeBack() {
        World world = new World(1, 100);
        int taken = 30;
        for (int i = 0; i < taken; i++) {
            world.take(false, 2);
        }
        int out = world.sent.size();
        assertTrue(out < taken);
        world.run(world.now + 100 * MILLI);
        assertEquals(world.answers.size(), taken - out);
        world.answers.forEach(answer -> {
            assertEquals(status(answer), 503);
            assertTrue(((Answer.Own) answer).retryAfter() > 0);
        });
    }

    /** More wait than may, and some of them have been answered by then: their clients are on to the next. */
    @Test
    public void whoWasAnsweredIsNotAnsweredAgainForTheQueueIsFull() {
        World world = new World(1, 100);
        for (int round = 0; round < 4; round++) {
            world.priority = 4 - round;
            for (int i = 0; i < 200; i++) {
                world.take(false, 2);
                world.sent.forEach(Try::connected);
            }
            world.run(world.now + 100 * MILLI);
        }
        assertEquals(world.answers.size(), 800 - world.sent.size());
        assertEquals(world.neverRan, world.answers.size());
    }

    /** What is not here whole can be read once only: a second copy would take the first one's bytes. */
    @Test
    public void whatStillComesInHasNoSecondCopy() {
        World world = new World(2, 100);
        world.whole = false;
        world.take(true, 2);
        world.run(world.now + 299 * MILLI);
        assertEquals(world.sent.size(), 1);
    }

    /** Its deadline comes while a connection is not up: it has not run and never will. */
    @Test
    public void whatNoCheckerCouldBeReachedForIsPromisedNotToHaveRun() {
        World world = new World(1, 100);
        world.take(false, 2, 200);
        world.run(world.now + 1000 * MILLI);
        assertEquals(status(world.answers.get(0)), 503);
        assertEquals(world.neverRan, 1);
        assertEquals(world.roster.get("c0").inFlight(), 0);
    }

    /** A status that promises that it was not run, from a checker that does not say so. */
    @Test
    public void aPromiseThatIsNotTheCheckersIsNotPassedOn() {
        for (int status : new int[] {408, 421, 429, 503, 500, 409}) {
            World world = new World(1, 100);
            world.take(false, 2);
            world.sent.get(0).connected();
            world.requests.on(
                    world.now,
                    new Event.Ended(
                            world.sent.get(0),
                            Verdict.RAN,
                            new Answer.OfChecker(Head.answer(status), new byte[0], false)));
            assertEquals(status(world.answers.get(0)), status == 500 || status == 409 ? status : 502);
        }
    }
}
