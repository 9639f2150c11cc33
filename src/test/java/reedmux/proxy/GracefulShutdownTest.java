package reedmux.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Verifies that requests admitted after SIGTERM have enough time for their response, for several grace periods. */
public class GracefulShutdownTest {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long SIGTERM_TIME = 100 * MICROS_PER_SECOND;

    @DataProvider
    public Object[][] gracePeriods() {
        return new Object[][] {
            {MICROS_PER_SECOND / 2}, {2 * MICROS_PER_SECOND}, {6 * MICROS_PER_SECOND}, {30 * MICROS_PER_SECOND}
        };
    }

    @Test(dataProvider = "gracePeriods")
    public void phasesAreOrderedWithinTheGracePeriod(long grace) {
        GracefulShutdown shutdown = new GracefulShutdown(grace);
        assertFalse(shutdown.hasBegun() || shutdown.isDraining(SIGTERM_TIME));
        assertTrue(shutdown.admits(SIGTERM_TIME, Long.MAX_VALUE));
        shutdown.begin(SIGTERM_TIME);
        assertTrue(shutdown.hasBegun() && !shutdown.isDraining(SIGTERM_TIME));
        assertTrue(shutdown.drainsAt() <= shutdown.endsAt() && shutdown.lastResponseAt() < shutdown.endsAt());
        assertTrue(shutdown.endsAt() < SIGTERM_TIME + grace);
        assertTrue(shutdown.isDraining(shutdown.drainsAt()));
    }

    /** Tries combinations of times after the signal and deadlines. */
    @Test(dataProvider = "gracePeriods")
    public void lateAdmissionsHaveTheirDeadlineBeforeTermination(long grace) {
        GracefulShutdown shutdown = new GracefulShutdown(grace);
        shutdown.begin(SIGTERM_TIME);
        for (long now = SIGTERM_TIME; now < SIGTERM_TIME + grace; now += grace / 60) {
            for (long timeLeft = 0; timeLeft < 2 * grace; timeLeft += grace / 40) {
                boolean admitted = shutdown.admits(now, now + timeLeft);
                boolean balancersMayStillRoute = now <= SIGTERM_TIME + Math.min(2 * MICROS_PER_SECOND, grace / 3);
                assertEquals(admitted, balancersMayStillRoute || now + timeLeft <= shutdown.lastResponseAt());
            }
        }
    }

    @Test
    public void summaryCountsEventsSinceTheSignal() {
        GracefulShutdown shutdown = new GracefulShutdown(6 * MICROS_PER_SECOND);
        shutdown.onAccepted();
        shutdown.begin(SIGTERM_TIME);
        shutdown.onAccepted();
        shutdown.admits(SIGTERM_TIME + MICROS_PER_SECOND, SIGTERM_TIME + 3 * MICROS_PER_SECOND);
        shutdown.admits(SIGTERM_TIME + 4 * MICROS_PER_SECOND, SIGTERM_TIME + 9 * MICROS_PER_SECOND);
        assertEquals(
                shutdown.summary(SIGTERM_TIME + 5 * MICROS_PER_SECOND, List.of()),
                "ends 5000 ms after the signal: since then 1 connections accepted, 1 requests admitted, the last one"
                        + " after 1000 ms, 1 rejected; 0 without a response");
    }
}
