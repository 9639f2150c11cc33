package reedmux.gatekeeper.admin;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.Test;
import reedmux.gatekeeper.admin.LifeCycle.LifeCyclePhase;

/** The phases of a process, from each order of events. */
public final class LifeCycleTest {
    private static final long START_MICROS = 5_000_000;
    private static final long MICROS_PER_MILLI = 1_000;

    /** Each row: events in their order, the phase that comes of them, clients taken, last answers. */
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

    private static void apply(LifeCycle life, String event, long now) {
        switch (event) {
            case "ready" -> life.onReady(now);
            case "on" -> life.startDraining(now);
            case "off" -> life.stopDraining(now);
            case "leave" -> life.startShutdown(now);
            case "succeeded" -> life.setSuccessor(true);
            case "alone" -> life.setSuccessor(false);
            default -> throw new IllegalArgumentException(event);
        }
    }

    private static LifeCycle lifeCycleAfter(String events) {
        LifeCycle life = new LifeCycle();
        for (String event : events.isEmpty() ? new String[0] : events.split(" ")) {
            apply(life, event, START_MICROS);
        }
        return life;
    }

    @Test
    public void followsTheTransitionTable() {
        for (String[] row : TRANSITIONS) {
            LifeCycle life = lifeCycleAfter(row[0]);
            assertEquals(row[0], LifeCyclePhase.valueOf(row[1]), life.phase());
            assertEquals(row[0], row[2].equals("yes"), life.acceptsClients());
            assertEquals(row[0], row[3].equals("yes"), life.closesAfterResponse());
        }
    }

    @Test
    public void drainingAcceptsAndClosesIdleConnectionsAfterTheGrace() {
        LifeCycle life = lifeCycleAfter("ready on");
        assertFalse(life.closesIdleConnections(START_MICROS + 999 * MICROS_PER_MILLI));
        assertTrue(life.closesIdleConnections(START_MICROS + 1_000 * MICROS_PER_MILLI));
        assertTrue(life.acceptsConnections(START_MICROS + 3_600_000 * MICROS_PER_MILLI));
        assertFalse(life.mayTerminate(START_MICROS + 3_600_000 * MICROS_PER_MILLI, 0, false));
        life.startDraining(START_MICROS + 2_000 * MICROS_PER_MILLI); // a repeat does not begin it anew
        assertTrue(life.closesIdleConnections(START_MICROS + 2_000 * MICROS_PER_MILLI));
        life.stopDraining(START_MICROS + 2_000 * MICROS_PER_MILLI);
        assertFalse(life.closesIdleConnections(START_MICROS + 9_000 * MICROS_PER_MILLI));
    }

    @Test
    public void shutdownWhileDrainingHasItsOwnGrace() {
        LifeCycle life = lifeCycleAfter("ready on");
        long term = START_MICROS + 5_000 * MICROS_PER_MILLI;
        life.startShutdown(term);
        assertTrue(life.acceptsConnections(term + 599 * MICROS_PER_MILLI));
        assertFalse(life.closesIdleConnections(term + 599 * MICROS_PER_MILLI));
        assertFalse(life.acceptsConnections(term + 600 * MICROS_PER_MILLI));
        life.startShutdown(term + 500 * MICROS_PER_MILLI); // only the first counts
        assertFalse(life.acceptsConnections(term + 600 * MICROS_PER_MILLI));
    }

    @Test
    public void terminatesOnlyAfterTheFinalWriteGrace() {
        LifeCycle life = lifeCycleAfter("ready leave");
        long late = START_MICROS + 700 * MICROS_PER_MILLI;
        assertFalse(life.mayTerminate(late, 1, true));
        assertFalse(life.mayTerminate(late, 0, true));
        assertFalse(life.mayTerminate(late + 49 * MICROS_PER_MILLI, 0, true));
        assertFalse(life.mayTerminate(late + 50 * MICROS_PER_MILLI, 1, true)); // one more came in just then
        assertFalse(life.mayTerminate(late + 60 * MICROS_PER_MILLI, 0, true));
        assertTrue(life.mayTerminate(late + 110 * MICROS_PER_MILLI, 0, true));
    }

    @Test
    public void withASuccessorStopsAcceptingAtOnce() {
        LifeCycle life = lifeCycleAfter("ready succeeded leave");
        assertFalse(life.acceptsConnections(START_MICROS + 20 * MICROS_PER_MILLI));
        assertFalse(life.closesIdleConnections(START_MICROS + 999 * MICROS_PER_MILLI));
        assertFalse(
                "clients still hold connections", life.mayTerminate(START_MICROS + 500 * MICROS_PER_MILLI, 0, true));
        assertFalse(life.mayTerminate(START_MICROS + 600 * MICROS_PER_MILLI, 0, false));
        assertTrue(life.mayTerminate(START_MICROS + 650 * MICROS_PER_MILLI, 0, false));
    }

    @Test
    public void endedSuccessorIsIgnored() {
        LifeCycle life = lifeCycleAfter("ready succeeded alone leave");
        assertTrue(life.acceptsConnections(START_MICROS + 599 * MICROS_PER_MILLI));
    }

    /** Whatever comes in whatever order: leaving is final, and clients are never taken with last answers. */
    @Test
    public void invariantsHoldForRandomEventOrders() {
        List<String> events = List.of("ready", "on", "off", "leave", "succeeded", "alone");
        SplittableRandom random = new SplittableRandom(11);
        for (int run = 0; run < 2_000; run++) {
            LifeCycle life = new LifeCycle();
            List<String> told = new ArrayList<>();
            boolean left = false;
            long now = START_MICROS;
            for (int i = 0; i < 8; i++) {
                now += random.nextLong(2_000 * MICROS_PER_MILLI);
                String event = events.get(random.nextInt(events.size()));
                told.add(event);
                apply(life, event, now);
                left |= event.equals("leave");
                assertEquals(told.toString(), left, life.phase() == LifeCyclePhase.LEAVING);
                assertFalse(told.toString(), life.acceptsClients() && life.closesAfterResponse());
                assertTrue(told.toString(), left || life.acceptsConnections(now));
                assertFalse(told.toString(), !left && life.mayTerminate(now, 0, false));
            }
        }
    }
}
