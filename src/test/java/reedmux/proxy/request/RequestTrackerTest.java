package reedmux.proxy.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reedmux.common.http1.Http1Head;
import reedmux.control.configuration.RouteItem;
import reedmux.control.instances.CheckerIncarnation;
import reedmux.proxy.loadbalancer.LoadBalancer;
import reedmux.proxy.retry.RetryBudget;

/** Each stage at which a sending may end, and what becomes of the request. */
public class RequestTrackerTest {
    private static final long MICROS_PER_MILLI = 1000;

    private record ScheduledEvent(long at, int number, RequestEvent event) {}

    private static final class TrackerHarness implements RequestPort {
        final LoadBalancer loadBalancer = new LoadBalancer("me", "here", 1);
        final RetryBudget budget;
        final RequestTracker tracker;
        final List<RequestAttempt> sent = new ArrayList<>();
        final List<ProxyResponse> responses = new ArrayList<>();
        final List<ProxyRequest> completed = new ArrayList<>();
        final PriorityQueue<ScheduledEvent> scheduled = new PriorityQueue<>((one, other) ->
                one.at() != other.at() ? Long.compare(one.at(), other.at()) : one.number() - other.number());
        int quotaRefunds;
        boolean fullyReceived = true;
        int priority = 1;
        long now = 1_000_000;

        TrackerHarness(int checkers, double slack) {
            budget = new RetryBudget(0.2, slack, false);
            for (int i = 0; i < checkers; i++) {
                loadBalancer.onIncarnationUpdate(
                        new CheckerIncarnation(
                                "c" + i,
                                "desk",
                                "10.0.0." + (i + 1) + ":80",
                                "here",
                                3,
                                CheckerIncarnation.READY,
                                1,
                                0,
                                false),
                        now);
            }
            tracker = new RequestTracker(this, loadBalancer, budget, 1);
        }

        ProxyRequest accept(boolean repeatable, int attempts) {
            return accept(repeatable, attempts, 1500);
        }

        ProxyRequest accept(boolean repeatable, int attempts, long millis) {
            RouteItem route = new RouteItem(
                    "r",
                    "h",
                    "/",
                    repeatable,
                    2000 * MICROS_PER_MILLI,
                    400 * MICROS_PER_MILLI,
                    priority,
                    List.of(new RouteItem.WeightedService("desk", 1)),
                    attempts,
                    true);
            ProxyRequest exchange = new ProxyRequest(
                    route,
                    null,
                    new ProxyRequest.RequestSource() {
                        @Override
                        public boolean isReplayable() {
                            return true;
                        }

                        @Override
                        public boolean isLarge() {
                            return false;
                        }

                        @Override
                        public boolean isFullyReceived() {
                            return fullyReceived;
                        }

                        @Override
                        public Object connection() {
                            return TrackerHarness.this;
                        }
                    },
                    now + millis * MICROS_PER_MILLI);
            tracker.onEvent(now, new RequestEvent.RequestAccepted(exchange));
            return exchange;
        }

        /** What an end is: not connected, a shed, silence that breaks, an answer. */
        void endAttempt(RequestAttempt what, String how) {
            if (!how.equals("unreached")) {
                what.onConnected();
            }
            ExecutionStatus verdict =
                    switch (how) {
                        case "unreached", "shed", "moved" -> ExecutionStatus.NOT_EXECUTED;
                        case "half sent", "broken" -> ExecutionStatus.MAY_HAVE_EXECUTED;
                        default -> ExecutionStatus.EXECUTED;
                    };
            int status =
                    switch (how) {
                        case "shed" -> 503;
                        case "moved" -> 421;
                        case "failed" -> 500;
                        default -> 200;
                    };
            boolean none = how.equals("unreached") || how.equals("half sent") || how.equals("broken");
            tracker.onEvent(
                    now,
                    new RequestEvent.AttemptFinished(
                            what,
                            verdict,
                            none
                                    ? null
                                    : new ProxyResponse.CheckerResponse(
                                            Http1Head.response(status),
                                            new byte[0],
                                            verdict == ExecutionStatus.NOT_EXECUTED)));
        }

        void runUntil(long until) {
            while (!scheduled.isEmpty() && scheduled.peek().at() <= until) {
                ScheduledEvent next = scheduled.poll();
                now = Math.max(now, next.at());
                tracker.onEvent(now, next.event());
            }
            now = until;
        }

        @Override
        public void send(RequestAttempt what) {
            sent.add(what);
        }

        @Override
        public void cancel(RequestAttempt what) {
            tracker.onEvent(
                    now,
                    new RequestEvent.AttemptFinished(
                            what,
                            what.isConnected() && fullyReceived
                                    ? ExecutionStatus.MAY_HAVE_EXECUTED
                                    : ExecutionStatus.NOT_EXECUTED,
                            null));
        }

        @Override
        public void respond(ProxyRequest exchange, ProxyResponse answer) {
            responses.add(answer);
            assertFalse(completed.contains(exchange), "answered twice");
            completed.add(exchange);
        }

        @Override
        public void refundQuota(ProxyRequest exchange) {
            quotaRefunds++;
        }

        @Override
        public void schedule(long at, RequestEvent event) {
            scheduled.add(new ScheduledEvent(at, scheduled.size(), event));
        }
    }

    private static int status(ProxyResponse answer) {
        return answer instanceof ProxyResponse.LocalResponse own
                ? own.status()
                : ((ProxyResponse.CheckerResponse) answer).head().status();
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
    public void retriesOrRespondsByHowTheFirstAttemptEnds(
            String how, int sendings, int status, int sendingsOnce, int statusOnce) {
        for (boolean repeatable : new boolean[] {true, false}) {
            TrackerHarness harness = new TrackerHarness(3, 100);
            harness.accept(repeatable, 2);
            harness.endAttempt(harness.sent.get(0), how);
            assertEquals(harness.sent.size(), repeatable ? sendings : sendingsOnce, how);
            if (harness.responses.isEmpty()) {
                harness.endAttempt(harness.sent.get(1), "served");
            }
            assertEquals(status(harness.responses.get(0)), repeatable ? status : statusOnce, how);
            assertEquals(harness.responses.size(), 1);
        }
    }

    /** All pairs of ends: what may have run is never said to be not run, nor sent again unless repeatable. */
    @Test
    public void neverPromisesThatARequestWasNotExecutedIfItMayHaveBeen() {
        String[] ends = {"unreached", "half sent", "shed", "moved", "broken", "failed", "served"};
        for (String first : ends) {
            for (String second : ends) {
                for (boolean repeatable : new boolean[] {true, false}) {
                    TrackerHarness harness = new TrackerHarness(2, 100);
                    harness.accept(repeatable, 2);
                    harness.endAttempt(harness.sent.get(0), first);
                    List<String> run = List.of("half sent", "broken", "failed", "served");
                    boolean may = run.contains(first);
                    assertTrue(!may || repeatable || harness.sent.size() == 1);
                    if (harness.sent.size() > 1) {
                        harness.endAttempt(harness.sent.get(1), second);
                        may |= run.contains(second);
                    }
                    harness.runUntil(harness.now + 3000 * MICROS_PER_MILLI);
                    assertEquals(harness.responses.size(), 1, first + ", " + second);
                    int status = status(harness.responses.get(0));
                    assertFalse(may && (status == 503 || status == 429 || status == 421), first + ", " + second);
                    assertTrue(may
                            || status == 503
                                    && ((ProxyResponse.LocalResponse) harness.responses.get(0)).retryAfterMicros() > 0);
                    assertEquals(harness.quotaRefunds, may ? 0 : 1);
                }
            }
        }
    }

    @Test
    public void waitsForASilentCheckerUntilTheDeadline() {
        TrackerHarness harness = new TrackerHarness(1, 100);
        harness.accept(false, 2);
        harness.sent.get(0).onConnected();
        harness.runUntil(harness.now + 1499 * MICROS_PER_MILLI);
        assertTrue(harness.responses.isEmpty());
        harness.runUntil(harness.now + 2 * MICROS_PER_MILLI);
        assertEquals(status(harness.responses.get(0)), 504);
    }

    /** A checker that falls silent for good does not keep its place for good. */
    @Test
    public void attemptWithoutResponseStopsCountingAsInFlight() {
        TrackerHarness harness = new TrackerHarness(1, 100);
        harness.accept(false, 2);
        harness.sent.get(0).onConnected();
        harness.runUntil(harness.now + 5000 * MICROS_PER_MILLI);
        assertEquals(harness.loadBalancer.get("c0").inFlight(), 0);
        assertEquals(harness.responses.size(), 1);
    }

    @Test
    public void cancelsAnIncompleteRequestWhenItsClientDisconnects() {
        TrackerHarness harness = new TrackerHarness(1, 100);
        harness.fullyReceived = false;
        ProxyRequest exchange = harness.accept(false, 2);
        harness.sent.get(0).onConnected();
        harness.tracker.onEvent(harness.now, new RequestEvent.ClientDisconnected(exchange));
        assertEquals(harness.loadBalancer.get("c0").inFlight(), 0);
        assertTrue(harness.responses.isEmpty());
    }

    /** How far an attempt is as the client leaves, by route; whether it is cancelled, and its quota given back. */
    @DataProvider
    public Object[][] departures() {
        return new Object[][] {
            {"connecting", true, true, 1},
            {"connecting", false, true, 1},
            {"partly sent", true, true, 0},
            {"partly sent", false, true, 0},
            {"sent", true, true, 0},
            {"sent", false, false, 0},
            {"hedged", true, true, 0}
        };
    }

    @Test(dataProvider = "departures")
    public void departureCancelsWhatDoesNoHarm(String stage, boolean idempotent, boolean cancelled, int refunds) {
        TrackerHarness harness = new TrackerHarness(3, 100);
        ProxyRequest request = harness.accept(idempotent, 2);
        if (stage.equals("hedged")) {
            harness.runUntil(harness.now + 300 * MICROS_PER_MILLI);
            assertEquals(harness.sent.size(), 2);
        }
        for (RequestAttempt attempt : harness.sent) {
            if (!stage.equals("connecting")) {
                attempt.onConnected();
            }
            if (!stage.endsWith("ing") && !stage.equals("partly sent")) {
                attempt.onFullySent();
            }
        }
        int attempts = harness.sent.size();
        harness.tracker.onEvent(harness.now, new RequestEvent.ClientDisconnected(request));
        assertEquals(harness.tracker.attempts().isEmpty(), cancelled, stage);
        harness.runUntil(harness.now + 5_000 * MICROS_PER_MILLI);
        assertTrue(harness.tracker.attempts().isEmpty(), "every attempt ends");
        assertEquals(harness.sent.size(), attempts, "nothing is sent for a client that has left");
        assertTrue(harness.responses.isEmpty());
        assertEquals(harness.quotaRefunds, refunds, stage);
    }

    /** The slower of two attempts goes on after the response, and shows its latency, while the client stays. */
    @Test
    public void hedgedAttemptEndsWithTheConnectionOfItsClient() {
        for (boolean own : new boolean[] {true, false}) {
            TrackerHarness harness = new TrackerHarness(2, 100);
            harness.accept(true, 2);
            harness.sent.get(0).onConnected();
            harness.sent.get(0).onFullySent();
            harness.runUntil(harness.now + 300 * MICROS_PER_MILLI);
            harness.endAttempt(harness.sent.get(1), "served");
            assertFalse(harness.tracker.attempts().isEmpty());
            Object connection = own ? harness : new Object();
            harness.tracker.onEvent(harness.now, new RequestEvent.ClientConnectionClosed(connection));
            assertEquals(harness.tracker.attempts().isEmpty(), own);
            assertEquals(harness.responses.size(), 1);
        }
    }

    /** Clients that leave say nothing of checkers, but one that is silent does not become sound by it. */
    @Test
    public void departureLeavesTheCheckersReputationAsItWas() {
        for (boolean silent : new boolean[] {false, true}) {
            TrackerHarness harness = new TrackerHarness(2, 0);
            ProxyRequest first = harness.accept(true, 1);
            RequestAttempt attempt = harness.sent.get(0);
            attempt.onConnected();
            attempt.onFullySent();
            harness.runUntil(harness.now + (silent ? 600 : 50) * MICROS_PER_MILLI);
            harness.tracker.onEvent(harness.now, new RequestEvent.ClientDisconnected(first));
            assertEquals(attempt.checker().isSuspect(harness.now, 400 * MICROS_PER_MILLI), silent);
            assertEquals(attempt.checker().inFlight(), 0);
        }
    }

    /** The queue's place goes to others, and one that fails after its client left is not retried. */
    @Test
    public void nothingIsRetriedForAClientThatHasLeft() {
        TrackerHarness harness = new TrackerHarness(3, 100);
        ProxyRequest request = harness.accept(false, 3);
        RequestAttempt attempt = harness.sent.get(0);
        attempt.onConnected();
        attempt.onFullySent();
        harness.tracker.onEvent(harness.now, new RequestEvent.ClientDisconnected(request));
        harness.endAttempt(attempt, "shed");
        assertEquals(harness.sent.size(), 1);
        assertTrue(harness.responses.isEmpty());
        assertTrue(harness.tracker.attempts().isEmpty());
    }

    @Test
    public void hedgesASlowIdempotentRequest() {
        TrackerHarness harness = new TrackerHarness(2, 100);
        harness.accept(true, 2);
        harness.sent.get(0).onConnected();
        harness.runUntil(harness.now + 300 * MICROS_PER_MILLI);
        assertEquals(harness.sent.size(), 2);
        harness.endAttempt(harness.sent.get(1), "broken");
        assertTrue(harness.responses.isEmpty()); // the first is still under way
        harness.endAttempt(harness.sent.get(0), "served");
        assertEquals(status(harness.responses.get(0)), 200);
    }

    @Test
    public void retriesStayWithinTheBudget() {
        TrackerHarness harness = new TrackerHarness(12, 10);
        int requests = 400;
        int arrivals = 0;
        for (int i = 0; i < requests; i++) {
            int before = harness.sent.size();
            harness.accept(true, 3);
            for (int at = before; at < harness.sent.size(); at++) {
                arrivals++;
                harness.endAttempt(harness.sent.get(at), "broken");
            }
            harness.runUntil(harness.now + 500 * MICROS_PER_MILLI);
        }
        assertTrue(arrivals - requests <= 0.2 * requests + 10, arrivals + " arrivals");
        assertTrue(arrivals - requests > 0.05 * requests, arrivals + " arrivals");
    }

    @Test
    public void rejectsQueuedRequestsEarlyWithRetryAfter() {
        TrackerHarness harness = new TrackerHarness(1, 100);
        int taken = 30;
        for (int i = 0; i < taken; i++) {
            harness.accept(false, 2);
        }
        int out = harness.sent.size();
        assertTrue(out < taken);
        harness.runUntil(harness.now + 100 * MICROS_PER_MILLI);
        assertEquals(harness.responses.size(), taken - out);
        harness.responses.forEach(answer -> {
            assertEquals(status(answer), 503);
            assertTrue(((ProxyResponse.LocalResponse) answer).retryAfterMicros() > 0);
        });
    }

    /** More wait than may, and some of them have been answered by then: their clients are on to the next. */
    @Test
    public void queueOverflowDoesNotRespondTwice() {
        TrackerHarness harness = new TrackerHarness(1, 100);
        for (int round = 0; round < 4; round++) {
            harness.priority = 4 - round;
            for (int i = 0; i < 200; i++) {
                harness.accept(false, 2);
                harness.sent.forEach(RequestAttempt::onConnected);
            }
            harness.runUntil(harness.now + 100 * MICROS_PER_MILLI);
        }
        assertEquals(harness.responses.size(), 800 - harness.sent.size());
        assertEquals(harness.quotaRefunds, harness.responses.size());
    }

    /** What is not here whole can be read once only: a second copy would take the first one's bytes. */
    @Test
    public void doesNotHedgeARequestThatIsStillComingIn() {
        TrackerHarness harness = new TrackerHarness(2, 100);
        harness.fullyReceived = false;
        harness.accept(true, 2);
        harness.runUntil(harness.now + 299 * MICROS_PER_MILLI);
        assertEquals(harness.sent.size(), 1);
    }

    /** Its deadline comes while a connection is not up: it has not run and never will. */
    @Test
    public void rejectsWithoutExecutionWhenNoCheckerWasReached() {
        TrackerHarness harness = new TrackerHarness(1, 100);
        harness.accept(false, 2, 200);
        harness.runUntil(harness.now + 1000 * MICROS_PER_MILLI);
        assertEquals(status(harness.responses.get(0)), 503);
        assertEquals(harness.quotaRefunds, 1);
        assertEquals(harness.loadBalancer.get("c0").inFlight(), 0);
    }

    /** A status that promises that it was not run, from a checker that does not say so. */
    @Test
    public void doesNotForwardAPromiseThatTheCheckerDidNotGive() {
        for (int status : new int[] {408, 421, 429, 503, 500, 409}) {
            TrackerHarness harness = new TrackerHarness(1, 100);
            harness.accept(false, 2);
            harness.sent.get(0).onConnected();
            harness.tracker.onEvent(
                    harness.now,
                    new RequestEvent.AttemptFinished(
                            harness.sent.get(0),
                            ExecutionStatus.EXECUTED,
                            new ProxyResponse.CheckerResponse(Http1Head.response(status), new byte[0], false)));
            assertEquals(status(harness.responses.get(0)), status == 500 || status == 409 ? status : 502);
        }
    }
}
