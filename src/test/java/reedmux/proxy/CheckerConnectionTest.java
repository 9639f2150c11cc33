package reedmux.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import reedmux.common.eventloop.ScriptedEnvironment;
import reedmux.proxy.request.ProxyResponse;
import reedmux.testing.ScheduleExplorer;

/**
 * Explores all schedules of what checkers may do to requests, attempts and checker connections, which are tested
 * together. The checkers behave as badly as the protocol permits: a request that a checker has received in part may
 * have been executed.
 */
public class CheckerConnectionTest {
    private static final long MICROS_PER_MILLI = 1000;
    private static final int STEPS = 4;

    /**
     * Explores all schedules of two requests, the second of which is accepted before any step. Guards against mixed-up
     * responses, double execution and rejection of requests that may have been executed. The steps include silence;
     * resets before, within and after a head; delayed and duplicate responses; malformed input; another instance at the
     * address; and a missing attempt id. They occur together with retries, hedged attempts and reuse of connections.
     * With five steps there are 173,483 schedules.
     */
    @Test
    public void noScheduleMixesResponsesOrExecutesTwiceOrRejectsAnExecutedRequest() {
        int scheduleCount = 0;
        for (int combination = 0; combination < 4; combination++) {
            boolean firstRepeatable = combination % 2 == 0;
            boolean secondRepeatable = combination / 2 == 0;
            scheduleCount += ScheduleExplorer.exploreAll(1_000_000, explorer -> {
                CheckerHarness harness = new CheckerHarness(2);
                harness.accept("one", firstRepeatable, null);
                harness.sockets.sockets.get(0).completeConnect();
                int secondRequestStep = explorer.choose(STEPS);
                for (int i = 0; i < STEPS; i++) {
                    if (i == secondRequestStep) {
                        harness.accept("two", secondRepeatable, "text");
                    }
                    harness.step(explorer);
                }
                harness.sockets.advanceMicros(900 * MICROS_PER_MILLI);
                harness.verify("one", firstRepeatable);
                harness.verify("two", secondRepeatable);
            });
        }
        assertTrue(scheduleCount > 25_000, scheduleCount + " schedules");
    }

    /**
     * Ends the transmission of a request after each number of bytes, by a reset or by silence. If any byte was sent,
     * the request may have been executed: it must neither be retried nor rejected as not executed, and its quota must
     * not be refunded.
     */
    @Test
    public void partlySentRequestMayHaveBeenExecuted() {
        CheckerHarness unlimited = new CheckerHarness(2);
        unlimited.accept("one", false, "0123456789");
        unlimited.sockets.sockets.get(0).completeConnect();
        int requestBytes = unlimited.sockets.sockets.get(0).writtenText().length();
        assertTrue(requestBytes > 100, requestBytes + " bytes");
        for (int sentBytes = 0; sentBytes <= requestBytes; sentBytes++) {
            for (boolean silent : new boolean[] {true, false}) {
                CheckerHarness harness = new CheckerHarness(2);
                harness.sockets.socketCapacityBytes = sentBytes;
                harness.accept("one", false, "0123456789");
                harness.sockets.socketCapacityBytes = Long.MAX_VALUE;
                ScriptedEnvironment.ScriptedSocket socket = harness.sockets.sockets.get(0);
                socket.completeConnect();
                assertEquals(socket.writtenText().length(), sentBytes);
                if (!silent) {
                    socket.reset();
                    assertEquals(harness.sockets.sockets.size(), sentBytes == 0 ? 2 : 1, sentBytes + " bytes");
                }
                harness.sockets.advanceMicros(900 * MICROS_PER_MILLI);
                ProxyResponse response = harness.responses.get("one");
                assertEquals(
                        ((ProxyResponse.LocalResponse) response).status(),
                        silent ? 504 : sentBytes == 0 ? 503 : 502,
                        sentBytes + " bytes");
                assertEquals(harness.quotaRefunds.size(), !silent && sentBytes == 0 ? 1 : 0);
            }
        }
    }
}
