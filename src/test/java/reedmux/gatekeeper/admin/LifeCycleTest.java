package reedmux.gatekeeper.admin;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.Test;
import reedmux.gatekeeper.admin.LifeCycle.LifeCyclePhase;

/** Tests the phases of the life cycle for many orders of events. */
public final class LifeCycleTest {
    private static final long START_MICROS = 5_000_000;
    private static final long MICROS_PER_MILLI = 1_000;

    /**
     * Each row: the events in order, the resulting phase, whether clients are accepted, and whether connections are
     * closed after each response.
     */
    private static final String[][] TRANSITIONS = {
        {"", "STARTING", "no", "no"},
        {"ready", "SERVING", "yes", "no"},
        {"ready ready", "SERVING", "yes", "no"},
        {"ready on", "DRAINING", "no", "yes"},
        {"ready on on", "DRAINING", "no", "yes"},
        {"ready on off", "SERVING", "yes", "no"},
        {"ready on off off", "SERVING", "yes", "no"},
        {"ready off", "SERVING", "yes", "no"},
        {"ready on off on", "DRAINING", "no", "yes"},
        {"on", "DRAINING", "no", "yes"},
        {"on ready", "DRAINING", "no", "yes"},
        {"on off", "STARTING", "no", "no"},
        {"on off ready", "SERVING", "yes", "no"},
        {"on ready off", "SERVING", "yes", "no"},
        {"leave", "LEAVING", "no", "yes"},
        {"leave ready", "LEAVING", "no", "yes"},
        {"ready leave", "LEAVING", "no", "yes"},
        {"ready on leave", "LEAVING", "no", "yes"},
        {"ready leave on", "LEAVING", "no", "yes"},
        {"ready leave off", "LEAVING", "no", "yes"},
        {"ready on leave off", "LEAVING", "no", "yes"},
        {"ready succeeded leave", "LEAVING", "no", "yes"},
    };

    private static void apply(LifeCycle lifeCycle, String event, long now) {
        switch (event) {
            case "ready" -> lifeCycle.onReady(now);
            case "on" -> lifeCycle.startDraining(now);
            case "off" -> lifeCycle.stopDraining(now);
            case "leave" -> lifeCycle.startShutdown(now);
            case "succeeded" -> lifeCycle.setSuccessor(true);
            case "alone" -> lifeCycle.setSuccessor(false);
            default -> throw new IllegalArgumentException(event);
        }
    }

    private static LifeCycle lifeCycleAfter(String events) {
        LifeCycle lifeCycle = new LifeCycle();
        for (String event : events.isEmpty() ? new String[0] : events.split(" ")) {
            apply(lifeCycle, event, START_MICROS);
        }
        return lifeCycle;
    }

    @Test
    public void followsTheTransitionTable() {
        for (String[] row : TRANSITIONS) {
            LifeCycle lifeCycle = lifeCycleAfter(row[0]);
            assertEquals(row[0], LifeCyclePhase.valueOf(row[1]), lifeCycle.phase());
            assertEquals(row[0], row[2].equals("yes"), lifeCycle.acceptsClients());
            assertEquals(row[0], row[3].equals("yes"), lifeCycle.closesAfterResponse());
        }
    }

    @Test
    public void drainingAcceptsAndClosesIdleConnectionsAfterTheGrace() {
        LifeCycle lifeCycle = lifeCycleAfter("ready on");
        assertFalse(lifeCycle.closesIdleConnections(START_MICROS + 999 * MICROS_PER_MILLI));
        assertTrue(lifeCycle.closesIdleConnections(START_MICROS + 1_000 * MICROS_PER_MILLI));
        assertTrue(lifeCycle.acceptsConnections(START_MICROS + 3_600_000 * MICROS_PER_MILLI));
        assertFalse(lifeCycle.mayTerminate(START_MICROS + 3_600_000 * MICROS_PER_MILLI, 0, false));
        lifeCycle.startDraining(
                START_MICROS + 2_000 * MICROS_PER_MILLI); // a repeated command does not restart the grace period
        assertTrue(lifeCycle.closesIdleConnections(START_MICROS + 2_000 * MICROS_PER_MILLI));
        lifeCycle.stopDraining(START_MICROS + 2_000 * MICROS_PER_MILLI);
        assertFalse(lifeCycle.closesIdleConnections(START_MICROS + 9_000 * MICROS_PER_MILLI));
    }

    @Test
    public void shutdownWhileDrainingHasItsOwnGrace() {
        LifeCycle lifeCycle = lifeCycleAfter("ready on");
        long shutdownStart = START_MICROS + 5_000 * MICROS_PER_MILLI;
        lifeCycle.startShutdown(shutdownStart);
        assertTrue(lifeCycle.acceptsConnections(shutdownStart + 599 * MICROS_PER_MILLI));
        assertFalse(lifeCycle.closesIdleConnections(shutdownStart + 599 * MICROS_PER_MILLI));
        assertFalse(lifeCycle.acceptsConnections(shutdownStart + 600 * MICROS_PER_MILLI));
        lifeCycle.startShutdown(shutdownStart + 500 * MICROS_PER_MILLI); // only the first call has an effect
        assertFalse(lifeCycle.acceptsConnections(shutdownStart + 600 * MICROS_PER_MILLI));
    }

    @Test
    public void terminatesOnlyAfterTheFinalWriteGrace() {
        LifeCycle lifeCycle = lifeCycleAfter("ready leave");
        long afterGrace = START_MICROS + 700 * MICROS_PER_MILLI;
        assertFalse(lifeCycle.mayTerminate(afterGrace, 1, true));
        assertFalse(lifeCycle.mayTerminate(afterGrace, 0, true));
        assertFalse(lifeCycle.mayTerminate(afterGrace + 49 * MICROS_PER_MILLI, 0, true));
        assertFalse(lifeCycle.mayTerminate(
                afterGrace + 50 * MICROS_PER_MILLI, 1, true)); // another request has arrived in the meantime
        assertFalse(lifeCycle.mayTerminate(afterGrace + 60 * MICROS_PER_MILLI, 0, true));
        assertTrue(lifeCycle.mayTerminate(afterGrace + 110 * MICROS_PER_MILLI, 0, true));
    }

    @Test
    public void withASuccessorStopsAcceptingAtOnce() {
        LifeCycle lifeCycle = lifeCycleAfter("ready succeeded leave");
        assertFalse(lifeCycle.acceptsConnections(START_MICROS + 20 * MICROS_PER_MILLI));
        assertFalse(lifeCycle.closesIdleConnections(START_MICROS + 999 * MICROS_PER_MILLI));
        assertFalse(
                "clients still have open connections",
                lifeCycle.mayTerminate(START_MICROS + 500 * MICROS_PER_MILLI, 0, true));
        assertFalse(lifeCycle.mayTerminate(START_MICROS + 600 * MICROS_PER_MILLI, 0, false));
        assertTrue(lifeCycle.mayTerminate(START_MICROS + 650 * MICROS_PER_MILLI, 0, false));
    }

    @Test
    public void endedSuccessorIsIgnored() {
        LifeCycle lifeCycle = lifeCycleAfter("ready succeeded alone leave");
        assertTrue(lifeCycle.acceptsConnections(START_MICROS + 599 * MICROS_PER_MILLI));
    }

    /**
     * For random sequences of events, leaving must be final, and clients must never be accepted while connections are
     * closed after each response.
     */
    @Test
    public void invariantsHoldForRandomEventOrders() {
        List<String> events = List.of("ready", "on", "off", "leave", "succeeded", "alone");
        SplittableRandom random = new SplittableRandom(11);
        for (int run = 0; run < 2_000; run++) {
            LifeCycle lifeCycle = new LifeCycle();
            List<String> applied = new ArrayList<>();
            boolean leaving = false;
            long now = START_MICROS;
            for (int i = 0; i < 8; i++) {
                now += random.nextLong(2_000 * MICROS_PER_MILLI);
                String event = events.get(random.nextInt(events.size()));
                applied.add(event);
                apply(lifeCycle, event, now);
                leaving |= event.equals("leave");
                assertEquals(applied.toString(), leaving, lifeCycle.phase() == LifeCyclePhase.LEAVING);
                assertFalse(applied.toString(), lifeCycle.acceptsClients() && lifeCycle.closesAfterResponse());
                assertTrue(applied.toString(), leaving || lifeCycle.acceptsConnections(now));
                assertFalse(applied.toString(), !leaving && lifeCycle.mayTerminate(now, 0, false));
            }
        }
    }
}
