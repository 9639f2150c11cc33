package reedmux.control.session;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import reedmux.testing.ScheduleExplorer;

/** Connections of one node that start and end in every order. */
public class SessionTableTest {
    private static final long NOW = 5_000_000;

    private static ProxySession session(long life) {
        return new ProxySession("edge-1", "10.1.0.1", "a", life);
    }

    /** Starts two connections and ends the first, in every order; returns the number of orders. */
    private static int endFirstInEveryOrder(long first, long second) {
        return ScheduleExplorer.exploreAll(1000, orders -> {
            SessionTable sessions = new SessionTable(2_000_000);
            List<Runnable> ofFirst =
                    new ArrayList<>(List.of(() -> sessions.start(session(first)), () -> sessions.end(session(first))));
            List<Runnable> ofSecond = new ArrayList<>(List.of(() -> sessions.start(session(second))));
            while (ofFirst.size() + ofSecond.size() > 0) {
                List<Runnable> next = ofFirst.isEmpty()
                        ? ofSecond
                        : ofSecond.isEmpty() ? ofFirst : orders.choose(2) == 0 ? ofFirst : ofSecond;
                next.remove(0).run();
            }
            assertEquals(sessions.view(NOW).members(), List.of(session(second)));
            assertEquals(List.copyOf(sessions.localSessions()), List.of(session(second)));
            sessions.end(session(second));
            assertEquals(sessions.view(NOW).size(), 0);
        });
    }

    /** A proxy reconnects before its registry has noticed the end of the previous connection. */
    @Test
    public void endOfAConnectionKeepsItsSuccessor() {
        assertEquals(endFirstInEveryOrder(7, 7), 3);
    }

    /** A registry that was suspended reads the connections of two incarnations in any order. */
    @Test
    public void endedIncarnationDoesNotReplaceTheNextOne() {
        assertEquals(endFirstInEveryOrder(7, 8), 3);
        assertEquals(endFirstInEveryOrder(8, 7), 3);
    }

    /** While both seem to be open, the one that started last counts, and each change is numbered. */
    @Test
    public void latestConnectionDeterminesTheSession() {
        SessionTable sessions = new SessionTable(2_000_000);
        sessions.start(session(9));
        long before = sessions.lastChange();
        sessions.start(session(3));
        assertEquals(sessions.view(NOW).members(), List.of(session(3)));
        assertEquals(sessions.lastChange(), before + 1);
        sessions.end(session(3));
        assertEquals(sessions.view(NOW).members(), List.of(session(9)));
        assertEquals(sessions.lastChange(), before + 2);
    }
}
