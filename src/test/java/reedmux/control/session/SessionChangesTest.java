package reedmux.control.session;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import reedmux.control.changes.ChangeCounter;
import reedmux.testing.ScheduleExplorer;

/** Incremental changes of sessions lead to the same view as the complete state. */
public class SessionChangesTest {
    private static final long GRACE_MICROS = 2_000_000;

    private static ProxySession session(int node, long life) {
        return new ProxySession("edge-" + node, "10.1.0." + node, "a", life);
    }

    /** Two proxies whose sessions start and end, and a reader that pulls after any of the steps. */
    @Test
    public void incrementalChangesEqualTheFullStateInAllOrders() {
        int orderings = ScheduleExplorer.exploreAll(1_000_000, orders -> {
            ChangeCounter counter = new ChangeCounter();
            SessionTable registry = new SessionTable(GRACE_MICROS, counter);
            SessionTable proxy = new SessionTable(GRACE_MICROS);
            long since = -1;
            long life = 0;
            for (int step = 0; step < 5; step++) {
                int node = orders.choose(2);
                if (orders.choose(2) == 0) {
                    registry.start(session(node, ++life));
                } else {
                    for (long old = 1; old <= life; old++) {
                        registry.end(session(node, old));
                    }
                }
                registry.recordViewChanges(step);
                if (orders.choose(2) == 0 || step == 4) {
                    proxy.merge("core", registry.viewChangesSince(since), step);
                    since = counter.last();
                    assertEquals(proxy.view(step).members(), registry.view(step).members());
                    assertEquals(proxy.view(step).digest(), registry.view(step).digest());
                }
            }
        });
        assertEquals(orderings, 32768);
    }

    @Test
    public void oneChangeIsReportedAlone() {
        ChangeCounter counter = new ChangeCounter();
        SessionTable registry = new SessionTable(GRACE_MICROS, counter);
        for (int i = 0; i < 1000; i++) {
            registry.start(session(i, 1));
        }
        registry.recordViewChanges(0);
        long since = counter.last();
        registry.end(session(500, 1));
        registry.start(session(7, 2));
        registry.recordViewChanges(1);
        assertEquals(
                registry.viewChangesSince(since),
                new SessionChanges(false, List.of(session(7, 2)), List.of("edge-500")));
        assertEquals(registry.localChangesSince(since).ended(), List.of("edge-500"));
        assertTrue(registry.viewChangesSince(counter.last()).isEmpty());
    }

    /** Only the latest ends are kept. */
    @Test
    public void readerBehindTheEndedEntriesGetsTheFullState() {
        ChangeCounter counter = new ChangeCounter();
        SessionTable registry = new SessionTable(GRACE_MICROS, counter);
        registry.start(session(0, 1));
        registry.start(session(1, 1));
        SessionTable other = new SessionTable(GRACE_MICROS);
        other.merge("core", registry.localChangesSince(-1), 0);
        long since = counter.last();
        registry.end(session(1, 1));
        for (int i = 2; i < 5000; i++) {
            registry.start(session(i, 1));
            registry.end(session(i, 1));
        }
        SessionChanges news = registry.localChangesSince(since);
        assertTrue(news.complete() && news.started().size() == 1);
        other.merge("core", news, 1);
        assertEquals(other.view(1).members(), List.of(session(0, 1)));
        assertFalse(registry.localChangesSince(counter.last() - 2).complete());
    }

    /** What a source repeats does not replace a newer incarnation that another source has reported since. */
    @Test
    public void newerSessionWinsOverAnOlderOneReportedAgain() {
        for (String[] source : new String[][] {{"one", "two"}, {"two", "one"}}) {
            SessionTable proxy = new SessionTable(GRACE_MICROS);
            proxy.merge(source[0], new SessionChanges(true, List.of(session(1, 1)), List.of()), 0);
            proxy.merge(source[1], new SessionChanges(true, List.of(session(1, 2)), List.of()), 1);
            proxy.merge(source[0], new SessionChanges(true, List.of(session(1, 1), session(2, 1)), List.of()), 2);
            assertEquals(proxy.view(3).members(), List.of(session(1, 2), session(2, 1)));
        }
    }

    /** A connection that is established again may have no change to report. */
    @Test
    public void restoredSourceCountsAgain() {
        SessionTable proxy = new SessionTable(GRACE_MICROS);
        proxy.merge("one", new SessionChanges(true, List.of(session(1, 1)), List.of()), 0);
        proxy.merge("two", new SessionChanges(true, List.of(session(2, 1)), List.of()), 0);
        proxy.onSourceLost("one", 10);
        assertEquals(proxy.view(GRACE_MICROS + 10).size(), 2);
        assertEquals(proxy.view(GRACE_MICROS + 11).size(), 1);
        proxy.onSourceRestored("one");
        assertEquals(proxy.view(GRACE_MICROS + 12).size(), 2);
        proxy.onSourceLost("one", GRACE_MICROS + 20);
        proxy.onSourceLost("two", GRACE_MICROS + 20);
        assertTrue(proxy.isIsolated());
        assertEquals(proxy.view(9 * GRACE_MICROS).size(), 2, "whoever is alone goes on with what was last known");
    }
}
