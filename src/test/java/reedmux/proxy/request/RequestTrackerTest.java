package reedmux.proxy.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reedmux.common.http1.BodyBuffer;
import reedmux.common.http1.Http1Head;

/** Tests how the tracker handles a request for each way in which its attempts can end. */
public class RequestTrackerTest {
    private static final long MICROS_PER_MILLI = 1000;

    private static int status(ProxyResponse response) {
        return response instanceof ProxyResponse.LocalResponse localResponse
                ? localResponse.status()
                : ((ProxyResponse.CheckerResponse) response).head().status();
    }

    /**
     * Outcome of the first attempt; the expected number of attempts and response status of an idempotent request; and
     * the same of a non-idempotent request.
     */
    @DataProvider
    public Object[][] firstAttemptOutcomes() {
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

    @Test(dataProvider = "firstAttemptOutcomes")
    public void retriesOrRespondsDependingOnTheFirstAttempt(
            String outcome, int attempts, int status, int nonIdempotentAttempts, int nonIdempotentStatus) {
        for (boolean idempotent : new boolean[] {true, false}) {
            TrackerHarness harness = new TrackerHarness(3, 100);
            harness.accept(idempotent, 2);
            harness.endAttempt(harness.sent.get(0), outcome);
            assertEquals(harness.sent.size(), idempotent ? attempts : nonIdempotentAttempts, outcome);
            if (harness.responses.isEmpty()) {
                harness.endAttempt(harness.sent.get(1), "served");
            }
            assertEquals(status(harness.responses.get(0)), idempotent ? status : nonIdempotentStatus, outcome);
            assertEquals(harness.responses.size(), 1);
        }
    }

    /**
     * Covers all pairs of outcomes of two attempts. A request that may have been executed never gets a status that
     * implies the opposite, and is sent again only if it is idempotent.
     */
    @Test
    public void neverReturnsANotExecutedStatusIfTheRequestMayHaveBeenExecuted() {
        String[] outcomes = {"unreached", "half sent", "shed", "moved", "broken", "failed", "served"};
        for (String first : outcomes) {
            for (String second : outcomes) {
                for (boolean idempotent : new boolean[] {true, false}) {
                    TrackerHarness harness = new TrackerHarness(2, 100);
                    harness.accept(idempotent, 2);
                    harness.endAttempt(harness.sent.get(0), first);
                    List<String> executedOutcomes = List.of("half sent", "broken", "failed", "served");
                    boolean mayHaveExecuted = executedOutcomes.contains(first);
                    assertTrue(!mayHaveExecuted || idempotent || harness.sent.size() == 1);
                    if (harness.sent.size() > 1) {
                        harness.endAttempt(harness.sent.get(1), second);
                        mayHaveExecuted |= executedOutcomes.contains(second);
                    }
                    harness.runUntil(harness.now + 3000 * MICROS_PER_MILLI);
                    assertEquals(harness.responses.size(), 1, first + ", " + second);
                    int status = status(harness.responses.get(0));
                    assertFalse(
                            mayHaveExecuted && (status == 503 || status == 429 || status == 421),
                            first + ", " + second);
                    assertTrue(mayHaveExecuted
                            || status == 503
                                    && ((ProxyResponse.LocalResponse) harness.responses.get(0)).retryAfterMicros() > 0);
                    assertEquals(harness.quotaRefunds, mayHaveExecuted ? 0 : 1);
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

    /** An attempt at a checker that never responds must not occupy one of the checker's slots forever. */
    @Test
    public void attemptWithoutResponseIsEventuallyNoLongerInFlight() {
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
        ProxyRequest request = harness.accept(false, 2);
        harness.sent.get(0).onConnected();
        harness.tracker.onEvent(harness.now, new RequestEvent.ClientDisconnected(request));
        assertEquals(harness.loadBalancer.get("c0").inFlight(), 0);
        assertTrue(harness.responses.isEmpty());
    }

    /**
     * State of the attempt when the client disconnects; whether the route is idempotent; whether the attempt must be
     * cancelled; and the expected number of quota refunds.
     */
    @DataProvider
    public Object[][] clientDisconnects() {
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

    @Test(dataProvider = "clientDisconnects")
    public void cancelsAttemptsThatAreSafeToCancelWhenTheClientDisconnects(
            String stage, boolean idempotent, boolean cancelled, int refunds) {
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
        assertTrue(harness.tracker.attempts().isEmpty(), "every attempt must end");
        assertEquals(harness.sent.size(), attempts, "no attempt may be sent after the client has disconnected");
        assertTrue(harness.responses.isEmpty());
        assertEquals(harness.quotaRefunds, refunds, stage);
    }

    /**
     * The slower of two attempts continues after the response, to measure the latency of its checker, until the client
     * closes its connection.
     */
    @Test
    public void cancelsTheSlowerAttemptWhenTheClientConnectionCloses() {
        for (boolean sameConnection : new boolean[] {true, false}) {
            TrackerHarness harness = new TrackerHarness(2, 100);
            harness.accept(true, 2);
            harness.sent.get(0).onConnected();
            harness.sent.get(0).onFullySent();
            harness.runUntil(harness.now + 300 * MICROS_PER_MILLI);
            harness.endAttempt(harness.sent.get(1), "served");
            assertFalse(harness.tracker.attempts().isEmpty());
            Object connection = sameConnection ? harness : new Object();
            harness.tracker.onEvent(harness.now, new RequestEvent.ClientConnectionClosed(connection));
            assertEquals(harness.tracker.attempts().isEmpty(), sameConnection);
            assertEquals(harness.responses.size(), 1);
        }
    }

    /**
     * A client that disconnects does not make its checker suspect, but neither does it clear the suspicion of a checker
     * that has been silent for too long.
     */
    @Test
    public void clientDisconnectDoesNotChangeWhetherTheCheckerIsSuspect() {
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

    /** An attempt that is rejected after its client has disconnected is neither retried nor responded to. */
    @Test
    public void doesNotRetryAfterTheClientHasDisconnected() {
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
        assertTrue(harness.responses.isEmpty()); // the first attempt is still in flight
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
            for (int index = before; index < harness.sent.size(); index++) {
                arrivals++;
                harness.endAttempt(harness.sent.get(index), "broken");
            }
            harness.runUntil(harness.now + 500 * MICROS_PER_MILLI);
        }
        assertTrue(arrivals - requests <= 0.2 * requests + 10, arrivals + " arrivals");
        assertTrue(arrivals - requests > 0.05 * requests, arrivals + " arrivals");
    }

    @Test
    public void rejectsQueuedRequestsEarlyWithRetryAfter() {
        TrackerHarness harness = new TrackerHarness(1, 100);
        int requests = 30;
        for (int i = 0; i < requests; i++) {
            harness.accept(false, 2);
        }
        int dispatched = harness.sent.size();
        assertTrue(dispatched < requests);
        harness.runUntil(harness.now + 100 * MICROS_PER_MILLI);
        assertEquals(harness.responses.size(), requests - dispatched);
        harness.responses.forEach(response -> {
            assertEquals(status(response), 503);
            assertTrue(((ProxyResponse.LocalResponse) response).retryAfterMicros() > 0);
        });
    }

    /**
     * Queues more requests than allowed while earlier ones have already been rejected. A request that already has its
     * response must not be rejected a second time, because its client may have sent the next request by then.
     */
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

    /** An incomplete body can be read only once: a hedged attempt would consume bytes of the first attempt. */
    @Test
    public void doesNotHedgeARequestThatIsStillBeingReceived() {
        TrackerHarness harness = new TrackerHarness(2, 100);
        harness.fullyReceived = false;
        harness.accept(true, 2);
        harness.runUntil(harness.now + 299 * MICROS_PER_MILLI);
        assertEquals(harness.sent.size(), 1);
    }

    /** The deadline expires before a connection is established: the request was not executed and never will be. */
    @Test
    public void rejectsWithoutExecutionWhenNoCheckerWasReached() {
        TrackerHarness harness = new TrackerHarness(1, 100);
        harness.accept(false, 2, 200);
        harness.runUntil(harness.now + 1000 * MICROS_PER_MILLI);
        assertEquals(status(harness.responses.get(0)), 503);
        assertEquals(harness.quotaRefunds, 1);
        assertEquals(harness.loadBalancer.get("c0").inFlight(), 0);
    }

    /**
     * A status that implies that the request was not executed is replaced by 502 if the checker does not report so
     * explicitly.
     */
    @Test
    public void doesNotForwardARejectionStatusThatTheCheckerDidNotConfirm() {
        for (int status : new int[] {408, 421, 429, 503, 500, 409}) {
            TrackerHarness harness = new TrackerHarness(1, 100);
            harness.accept(false, 2);
            harness.sent.get(0).onConnected();
            harness.tracker.onEvent(
                    harness.now,
                    new RequestEvent.AttemptFinished(
                            harness.sent.get(0),
                            ExecutionStatus.EXECUTED,
                            new ProxyResponse.CheckerResponse(Http1Head.response(status), new BodyBuffer(), false)));
            assertEquals(status(harness.responses.get(0)), status == 500 || status == 409 ? status : 502);
        }
    }
}
