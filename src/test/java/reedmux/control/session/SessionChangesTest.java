package reedmux.control.session;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import reedmux.control.changes.ChangeCounter;
import reedmux.testing.ScheduleExplorer;

/** Verifies that incremental session changes produce the same view as the complete state. */
public class SessionChangesTest {
    private static final long GRACE_MICROS = 2_000_000;

    private static ProxySession session(int node, long incarnation) {
        return new ProxySession("edge-" + node, "10.1.0." + node, "a", incarnation);
    }

    /** The sessions of two proxies start and end, and a reader pulls the changes after any subset of the steps. */
    @Test
    public void incrementalChangesProduceTheFullStateInAllOrders() {
        int orderings = ScheduleExplorer.exploreAll(1_000_000, schedule -> {
            ChangeCounter counter = new ChangeCounter();
            SessionTable registry = new SessionTable(GRACE_MICROS, counter);
            SessionTable proxy = new SessionTable(GRACE_MICROS);
            long since = -1;
            long incarnation = 0;
            for (int step = 0; step < 5; step++) {
                int node = schedule.choose(2);
                if (schedule.choose(2) == 0) {
                    registry.start(session(node, ++incarnation));
                } else {
                    for (long started = 1; started <= incarnation; started++) {
                        registry.end(session(node, started));
                    }
                }
                registry.recordViewChanges(step);
                if (schedule.choose(2) == 0 || step == 4) {
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
    public void onlyChangedSessionsAreReported() {
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

    /** The log retains a limited number of ended sessions, so a reader that is too far behind needs the full state. */
    @Test
    public void readerBehindTheRetainedEndsReceivesTheFullState() {
        ChangeCounter counter = new ChangeCounter();
        SessionTable registry = new SessionTable(GRACE_MICROS, counter);
        registry.start(session(0, 1));
        registry.start(session(1, 1));
        SessionTable reader = new SessionTable(GRACE_MICROS);
        reader.merge("core", registry.localChangesSince(-1), 0);
        long since = counter.last();
        registry.end(session(1, 1));
        for (int i = 2; i < 5000; i++) {
            registry.start(session(i, 1));
            registry.end(session(i, 1));
        }
        SessionChanges changes = registry.localChangesSince(since);
        assertTrue(changes.complete() && changes.started().size() == 1);
        reader.merge("core", changes, 1);
        assertEquals(reader.view(1).members(), List.of(session(0, 1)));
        assertFalse(registry.localChangesSince(counter.last() - 2).complete());
    }

    /** A session that a source reports again does not replace a newer incarnation that another source has reported. */
    @Test
    public void newerSessionTakesPrecedenceOverAnOlderOneReportedAgain() {
        for (String[] source : new String[][] {{"one", "two"}, {"two", "one"}}) {
            SessionTable proxy = new SessionTable(GRACE_MICROS);
            proxy.merge(source[0], new SessionChanges(true, List.of(session(1, 1)), List.of()), 0);
            proxy.merge(source[1], new SessionChanges(true, List.of(session(1, 2)), List.of()), 1);
            proxy.merge(source[0], new SessionChanges(true, List.of(session(1, 1), session(2, 1)), List.of()), 2);
            assertEquals(proxy.view(3).members(), List.of(session(1, 2), session(2, 1)));
        }
    }

    /** A source that reconnects in the same incarnation may have no changes to report. */
    @Test
    public void sessionsOfARestoredSourceAreInEffectAgain() {
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
        assertEquals(proxy.view(9 * GRACE_MICROS).size(), 2, "an isolated process keeps the last known sessions");
    }
}
