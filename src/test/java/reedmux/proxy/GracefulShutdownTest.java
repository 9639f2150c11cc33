package reedmux.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What is admitted after SIGTERM has time for its response, whatever the grace period is. */
public class GracefulShutdownTest {
    private static final long SECOND = 1_000_000;
    private static final long SIGNAL = 100 * SECOND;

    @DataProvider
    public Object[][] gracePeriods() {
        return new Object[][] {{SECOND / 2}, {2 * SECOND}, {6 * SECOND}, {30 * SECOND}};
    }

    @Test(dataProvider = "gracePeriods")
    public void phasesFollowOneAnotherWithinTheGracePeriod(long grace) {
        GracefulShutdown shutdown = new GracefulShutdown(grace);
        assertFalse(shutdown.hasBegun() || shutdown.isDraining(SIGNAL));
        assertTrue(shutdown.admits(SIGNAL, Long.MAX_VALUE));
        shutdown.begin(SIGNAL);
        assertTrue(shutdown.hasBegun() && !shutdown.isDraining(SIGNAL));
        assertTrue(shutdown.drainsAt() <= shutdown.endsAt() && shutdown.lastResponseAt() < shutdown.endsAt());
        assertTrue(shutdown.endsAt() < SIGNAL + grace);
        assertTrue(shutdown.isDraining(shutdown.drainsAt()));
    }

    /** At any time after the signal, with any deadline. */
    @Test(dataProvider = "gracePeriods")
    public void whatIsAdmittedLateHasItsResponseBeforeTheEnd(long grace) {
        GracefulShutdown shutdown = new GracefulShutdown(grace);
        shutdown.begin(SIGNAL);
        for (long now = SIGNAL; now < SIGNAL + grace; now += grace / 60) {
            for (long timeLeft = 0; timeLeft < 2 * grace; timeLeft += grace / 40) {
                boolean admitted = shutdown.admits(now, now + timeLeft);
                boolean early = now <= SIGNAL + Math.min(2 * SECOND, grace / 3);
                assertEquals(admitted, early || now + timeLeft <= shutdown.lastResponseAt());
                List<GracefulShutdown.UnansweredRequest> cut =
                        List.of(new GracefulShutdown.UnansweredRequest(now, now + timeLeft));
                assertEquals(shutdown.mayLeaveUnanswered(cut), early && now + timeLeft > shutdown.lastResponseAt());
            }
        }
    }

    @Test
    public void summaryCountsWhatCameSinceTheSignal() {
        GracefulShutdown shutdown = new GracefulShutdown(6 * SECOND);
        shutdown.onAccepted();
        shutdown.begin(SIGNAL);
        shutdown.onAccepted();
        shutdown.admits(SIGNAL + SECOND, SIGNAL + 3 * SECOND);
        shutdown.admits(SIGNAL + 4 * SECOND, SIGNAL + 9 * SECOND);
        assertEquals(
                shutdown.summary(SIGNAL + 5 * SECOND, List.of()),
                "ends 5000 ms after the signal: since then 1 connections accepted, 1 requests admitted, the last one"
                        + " after 1000 ms, 1 rejected; 0 without a response");
    }
}
