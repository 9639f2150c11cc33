package reedmux.proxy.request;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against proxies that run out of memory after a route's timeout was raised: nothing scheduled may retain a
 * request or an attempt after its end.
 */
public class RequestRetentionTest {
    private static final long MICROS_PER_MILLI = 1000;
    private static final long LONG_TIMEOUT_MILLIS = 3_600_000;

    /** The outcomes of the attempts, in their order; attempts beyond them are served. */
    @DataProvider
    public Object[][] attemptOutcomes() {
        return new Object[][] {
            {List.of()},
            {List.of("unreached")},
            {List.of("half sent")},
            {List.of("shed", "shed")},
            {List.of("moved")},
            {List.of("broken")},
            {List.of("failed", "failed")}
        };
    }

    /** A request with its response, and without attempts in flight, has no scheduled events. */
    @Test(dataProvider = "attemptOutcomes")
    public void nothingIsScheduledForAnAnsweredRequest(List<String> outcomes) {
        for (boolean idempotent : new boolean[] {true, false}) {
            TrackerHarness harness = new TrackerHarness(3, 100);
            harness.accept(idempotent, 2, LONG_TIMEOUT_MILLIS);
            for (int i = 0; i < harness.sent.size(); i++) {
                harness.endAttempt(harness.sent.get(i), i < outcomes.size() ? outcomes.get(i) : "served");
            }
            assertEquals(harness.responses.size(), 1);
            assertEquals(harness.scheduled.size(), 0, "scheduled after " + outcomes);
        }
    }

    /** After its response, only the limits of the attempt in flight remain of a hedged request, up to its end. */
    @Test
    public void onlyTheAttemptInFlightIsScheduledAfterAHedgedRequestIsAnswered() {
        TrackerHarness harness = new TrackerHarness(3, 100);
        harness.accept(true, 2, LONG_TIMEOUT_MILLIS);
        harness.sent.get(0).onConnected();
        harness.runUntil(harness.now + 300 * MICROS_PER_MILLI);
        assertEquals(harness.sent.size(), 2);
        harness.endAttempt(harness.sent.get(1), "served");
        assertEquals(harness.responses.size(), 1);
        harness.runUntil(harness.now + 400 * MICROS_PER_MILLI);
        assertEquals(harness.scheduled.size(), 1);
        harness.endAttempt(harness.sent.get(0), "served");
        assertEquals(harness.scheduled.size(), 0);
    }

    /** A request that waited in the queue for a checker has no scheduled events after its rejection. */
    @Test
    public void nothingIsScheduledForAQueuedRequestThatWasRejected() {
        TrackerHarness harness = new TrackerHarness(0, 100);
        harness.accept(true, 2, LONG_TIMEOUT_MILLIS);
        harness.runUntil(harness.now + 1000 * MICROS_PER_MILLI);
        assertEquals(harness.responses.size(), 1);
        assertEquals(harness.scheduled.size(), 0);
    }

    /** A request whose client has disconnected has no scheduled events once its attempts have ended. */
    @Test
    public void nothingIsScheduledForARequestWhoseClientHasDisconnected() {
        TrackerHarness harness = new TrackerHarness(1, 100);
        ProxyRequest request = harness.accept(true, 2, LONG_TIMEOUT_MILLIS);
        harness.sent.get(0).onConnected();
        harness.tracker.onEvent(harness.now, new RequestEvent.ClientDisconnected(request));
        assertEquals(harness.scheduled.size(), 0);
    }
}
