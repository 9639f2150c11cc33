package reedmux.proxy.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against requests that are closed without an answer when a proxy ends: a request whose deadline is later than
 * the end of the process is completed before it.
 */
public class ProcessEndTest {
    private static final long LONG_TIMEOUT_MILLIS = 3_600_000;

    @DataProvider
    public Object[][] repeatable() {
        return new Object[][] {{true}, {false}};
    }

    private static int status(TrackerHarness harness) {
        assertEquals(harness.responses.size(), 1);
        return ((ProxyResponse.LocalResponse) harness.responses.get(0)).status();
    }

    private static void end(TrackerHarness harness) {
        harness.tracker.onEvent(harness.now, new RequestEvent.ProxyShutdown());
    }

    /** The checker may have executed the request, so the answer does not imply the opposite. */
    @Test(dataProvider = "repeatable")
    public void requestAtACheckerIsAnsweredWith504(boolean repeatable) {
        TrackerHarness harness = new TrackerHarness(3, 100);
        harness.accept(repeatable, 2, LONG_TIMEOUT_MILLIS);
        harness.sent.get(0).onConnected();
        end(harness);
        assertEquals(status(harness), 504);
        assertEquals(harness.quotaRefunds, 0);
        harness.endAttempt(harness.sent.get(0), "broken");
        assertEquals(harness.sent.size(), 1);
    }

    /** No checker can have executed the request: it is rejected, its quota is refunded, and it is not sent again. */
    @Test(dataProvider = "repeatable")
    public void requestThatReachedNoCheckerIsRejectedWith503(boolean repeatable) {
        TrackerHarness harness = new TrackerHarness(3, 100);
        harness.accept(repeatable, 2, LONG_TIMEOUT_MILLIS);
        end(harness);
        assertEquals(status(harness), 503);
        assertEquals(harness.quotaRefunds, 1);
        assertEquals(harness.sent.size(), 1);
    }

    @Test
    public void queuedRequestIsRejectedWith503() {
        TrackerHarness harness = new TrackerHarness(0, 100);
        harness.accept(true, 2, LONG_TIMEOUT_MILLIS);
        end(harness);
        assertEquals(status(harness), 503);
        assertTrue(((ProxyResponse.LocalResponse) harness.responses.get(0)).retryAfterMicros() > 0);
    }

    /** A request that was answered before gets no second answer. */
    @Test
    public void answeredRequestWithAPendingAttemptGetsNoSecondAnswer() {
        TrackerHarness harness = new TrackerHarness(3, 100);
        harness.accept(true, 2, LONG_TIMEOUT_MILLIS);
        harness.sent.get(0).onConnected();
        harness.runUntil(harness.now + 250_000);
        harness.endAttempt(harness.sent.get(1), "served");
        end(harness);
        assertEquals(harness.responses.size(), 1);
    }
}
