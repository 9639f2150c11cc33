package reedmux.member;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import reedmux.item.Orders;

/** Links of one node that begin and end in every order: the newest that stands counts. */
public class SessionsTest {
    private static final long NOW = 5_000_000;

    private static Session session(long life) {
        return new Session("edge-1", "10.1.0.1", "a", life);
    }

    /** Two links, each with its incarnation; the first ends for good, the second stands. */
    private static int play(long first, long second) {
        return Orders.all(1000, orders -> {
            Sessions sessions = new Sessions(2_000_000);
            List<Runnable> ofFirst =
                    new ArrayList<>(List.of(() -> sessions.begin(session(first)), () -> sessions.end(session(first))));
            List<Runnable> ofSecond = new ArrayList<>(List.of(() -> sessions.begin(session(second))));
            while (ofFirst.size() + ofSecond.size() > 0) {
                List<Runnable> next = ofFirst.isEmpty()
                        ? ofSecond
                        : ofSecond.isEmpty() ? ofFirst : orders.pick(2) == 0 ? ofFirst : ofSecond;
                next.remove(0).run();
            }
            assertEquals(sessions.view(NOW).members(), List.of(session(second)));
            assertEquals(List.copyOf(sessions.own()), List.of(session(second)));
            sessions.end(session(second));
            assertEquals(sessions.view(NOW).size(), 0);
        });
    }

    /** A proxy dials again before its registry has seen the end of the link before. */
    @Test
    public void theEndOfALinkDoesNotEndTheOneThatTookItsPlace() {
        assertEquals(play(7, 7), 3);
    }

    /** A registry that was frozen reads the links of a proxy's two incarnations in any order. */
    @Test
    public void anIncarnationThatHasEndedDoesNotTakeTheSessionOfTheNext() {
        assertEquals(play(7, 8), 3);
        assertEquals(play(8, 7), 3);
    }

    /** While both seem to stand the one that began last counts, and others are told of each change. */
    @Test
    public void theLinkThatBeganLastCounts() {
        Sessions sessions = new Sessions(2_000_000);
        sessions.begin(session(9));
        long before = sessions.changes();
        sessions.begin(session(3));
        assertEquals(sessions.view(NOW).members(), List.of(session(3)));
        assertEquals(sessions.changes(), before + 1);
        sessions.end(session(3));
        assertEquals(sessions.view(NOW).members(), List.of(session(9)));
        assertEquals(sessions.changes(), before + 2);
    }
}
