package reedmux.operator;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.Test;
import reedmux.operator.LifeCycle.Phase;

/** The phases of a process, from each order of events. */
public final class LifeCycleTest {
    private static final long AT = 5_000_000;
    private static final long MILLI = 1_000;

    /** Each row: events in their order, the phase that comes of them, clients taken, last answers. */
    private static final String[][] TABLE = {
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

    private static void tell(LifeCycle life, String event, long now) {
        switch (event) {
            case "ready" -> life.ready(now);
            case "on" -> life.drainOn(now);
            case "off" -> life.drainOff(now);
            case "leave" -> life.leave(now);
            case "succeeded" -> life.succeeded(true);
            case "alone" -> life.succeeded(false);
            default -> throw new IllegalArgumentException(event);
        }
    }

    private static LifeCycle after(String events) {
        LifeCycle life = new LifeCycle();
        for (String event : events.isEmpty() ? new String[0] : events.split(" ")) {
            tell(life, event, AT);
        }
        return life;
    }

    @Test
    public void goesAsInTheTable() {
        for (String[] row : TABLE) {
            LifeCycle life = after(row[0]);
            assertEquals(row[0], Phase.valueOf(row[1]), life.phase());
            assertEquals(row[0], row[2].equals("yes"), life.takesClients());
            assertEquals(row[0], row[3].equals("yes"), life.lastAnswers());
        }
    }

    @Test
    public void aDrainGoesOnAcceptingAndClosesIdleOnesOnlyAfterAWhile() {
        LifeCycle life = after("ready on");
        assertFalse(life.closesIdle(AT + 999 * MILLI));
        assertTrue(life.closesIdle(AT + 1_000 * MILLI));
        assertTrue(life.accepts(AT + 3_600_000 * MILLI));
        assertFalse(life.ends(AT + 3_600_000 * MILLI, 0, false));
        life.drainOn(AT + 2_000 * MILLI); // a repeat does not begin it anew
        assertTrue(life.closesIdle(AT + 2_000 * MILLI));
        life.drainOff(AT + 2_000 * MILLI);
        assertFalse(life.closesIdle(AT + 9_000 * MILLI));
    }

    @Test
    public void aTerminationInADrainCountsFromItsOwnTime() {
        LifeCycle life = after("ready on");
        long term = AT + 5_000 * MILLI;
        life.leave(term);
        assertTrue(life.accepts(term + 599 * MILLI));
        assertFalse(life.closesIdle(term + 599 * MILLI));
        assertFalse(life.accepts(term + 600 * MILLI));
        life.leave(term + 500 * MILLI); // only the first counts
        assertFalse(life.accepts(term + 600 * MILLI));
    }

    @Test
    public void endsOnlyWhenAllIsAnsweredAndAMomentHasPassed() {
        LifeCycle life = after("ready leave");
        long late = AT + 700 * MILLI;
        assertFalse(life.ends(late, 1, true));
        assertFalse(life.ends(late, 0, true));
        assertFalse(life.ends(late + 49 * MILLI, 0, true));
        assertFalse(life.ends(late + 50 * MILLI, 1, true)); // one more came in just then
        assertFalse(life.ends(late + 60 * MILLI, 0, true));
        assertTrue(life.ends(late + 110 * MILLI, 0, true));
    }

    @Test
    public void withASuccessorItStopsAcceptingAtOnceAndLetsKeptConnectionsEndOfThemselves() {
        LifeCycle life = after("ready succeeded leave");
        assertFalse(life.accepts(AT + 20 * MILLI));
        assertFalse(life.closesIdle(AT + 999 * MILLI));
        assertFalse("clients still hold connections", life.ends(AT + 500 * MILLI, 0, true));
        assertFalse(life.ends(AT + 600 * MILLI, 0, false));
        assertTrue(life.ends(AT + 650 * MILLI, 0, false));
    }

    @Test
    public void aSuccessorThatEndedIsNone() {
        LifeCycle life = after("ready succeeded alone leave");
        assertTrue(life.accepts(AT + 599 * MILLI));
    }

    /** Whatever comes in whatever order: leaving is final, and clients are never taken with last answers. */
    @Test
    public void holdsOverDrawnOrders() {
        List<String> events = List.of("ready", "on", "off", "leave", "succeeded", "alone");
        SplittableRandom random = new SplittableRandom(11);
        for (int run = 0; run < 2_000; run++) {
            LifeCycle life = new LifeCycle();
            List<String> told = new ArrayList<>();
            boolean left = false;
            long now = AT;
            for (int i = 0; i < 8; i++) {
                now += random.nextLong(2_000 * MILLI);
                String event = events.get(random.nextInt(events.size()));
                told.add(event);
                tell(life, event, now);
                left |= event.equals("leave");
                assertEquals(told.toString(), left, life.phase() == Phase.LEAVING);
                assertFalse(told.toString(), life.takesClients() && life.lastAnswers());
                assertTrue(told.toString(), left || life.accepts(now));
                assertFalse(told.toString(), !left && life.ends(now, 0, false));
            }
        }
    }
}
