package reedmux.control.session;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import reedmux.testing.ScheduleExplorer;

/** Tests the sessions of a node whose connections overlap and whose events arrive in every order. */
public class SessionTableTest {
    private static final long NOW = 5_000_000;

    private static ProxySession session(long incarnation) {
        return new ProxySession("edge-1", "10.1.0.1", "a", incarnation);
    }

    /** Starts two connections and ends the first one, in every order; returns the number of orders explored. */
    private static int endFirstInEveryOrder(long first, long second) {
        return ScheduleExplorer.exploreAll(1000, schedule -> {
            SessionTable sessions = new SessionTable(2_000_000);
            List<Runnable> firstEvents =
                    new ArrayList<>(List.of(() -> sessions.start(session(first)), () -> sessions.end(session(first))));
            List<Runnable> secondEvents = new ArrayList<>(List.of(() -> sessions.start(session(second))));
            while (firstEvents.size() + secondEvents.size() > 0) {
                List<Runnable> next = firstEvents.isEmpty()
                        ? secondEvents
                        : secondEvents.isEmpty() ? firstEvents : schedule.choose(2) == 0 ? firstEvents : secondEvents;
                next.remove(0).run();
            }
            assertEquals(sessions.view(NOW).members(), List.of(session(second)));
            assertEquals(List.copyOf(sessions.localSessions()), List.of(session(second)));
            sessions.end(session(second));
            assertEquals(sessions.view(NOW).size(), 0);
        });
    }

    /** A proxy reconnects before its registry has detected that the previous connection was closed. */
    @Test
    public void endOfAConnectionKeepsTheSessionOfItsSuccessor() {
        assertEquals(endFirstInEveryOrder(7, 7), 3);
    }

    /** A registry that was suspended processes the connections of two incarnations in any order. */
    @Test
    public void endedIncarnationDoesNotReplaceItsSuccessor() {
        assertEquals(endFirstInEveryOrder(7, 8), 3);
        assertEquals(endFirstInEveryOrder(8, 7), 3);
    }

    /** While two connections appear to be open, the latest one determines the session, and each change is numbered. */
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
