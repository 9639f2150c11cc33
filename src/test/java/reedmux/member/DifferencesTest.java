package reedmux.member;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import reedmux.fleet.Counter;
import reedmux.item.Orders;

/** Sessions that are told as differences come to the same as those that are told whole. */
public class DifferencesTest {
    private static final long LINGER = 2_000_000;

    private static Session session(int node, long life) {
        return new Session("edge-" + node, "10.1.0." + node, "a", life);
    }

    /** Two proxies that come, end and come back, and a puller that is told after any of the steps. */
    @Test
    public void differencesComeToTheWholeInAllOrders() {
        int plays = Orders.all(1_000_000, orders -> {
            Counter counter = new Counter();
            Sessions registry = new Sessions(LINGER, counter);
            Sessions proxy = new Sessions(LINGER);
            long since = -1;
            long life = 0;
            for (int step = 0; step < 5; step++) {
                int node = orders.pick(2);
                if (orders.pick(2) == 0) {
                    registry.begin(session(node, ++life));
                } else {
                    for (long old = 1; old <= life; old++) {
                        registry.end(session(node, old));
                    }
                }
                registry.look(step);
                if (orders.pick(2) == 0 || step == 4) {
                    proxy.told("core", registry.viewSince(since), step);
                    since = counter.last();
                    assertEquals(proxy.view(step).members(), registry.view(step).members());
                    assertEquals(proxy.view(step).tag(), registry.view(step).tag());
                }
            }
        });
        assertEquals(plays, 32768);
    }

    @Test
    public void oneChangeIsToldAsOne() {
        Counter counter = new Counter();
        Sessions registry = new Sessions(LINGER, counter);
        for (int i = 0; i < 1000; i++) {
            registry.begin(session(i, 1));
        }
        registry.look(0);
        long since = counter.last();
        registry.end(session(500, 1));
        registry.begin(session(7, 2));
        registry.look(1);
        assertEquals(registry.viewSince(since), new Differences(false, List.of(session(7, 2)), List.of("edge-500")));
        assertEquals(registry.ownSince(since).ended(), List.of("edge-500"));
        assertTrue(registry.viewSince(counter.last()).none());
    }

    /** Ends are not kept for ever: who has missed too many is told the whole, and is right again. */
    @Test
    public void whoHasMissedTooManyEndsIsToldTheWhole() {
        Counter counter = new Counter();
        Sessions registry = new Sessions(LINGER, counter);
        registry.begin(session(0, 1));
        registry.begin(session(1, 1));
        Sessions other = new Sessions(LINGER);
        other.told("core", registry.ownSince(-1), 0);
        long since = counter.last();
        registry.end(session(1, 1));
        for (int i = 2; i < 5000; i++) {
            registry.begin(session(i, 1));
            registry.end(session(i, 1));
        }
        Differences news = registry.ownSince(since);
        assertTrue(news.whole() && news.begun().size() == 1);
        other.told("core", news, 1);
        assertEquals(other.view(1).members(), List.of(session(0, 1)));
        assertFalse(registry.ownSince(counter.last() - 2).whole());
    }

    /** What a source repeats of a node does not outdo what another has told of its newer process since. */
    @Test
    public void aNewerSessionOutdoesAnOlderOneThatIsToldOn() {
        for (String[] source : new String[][] {{"one", "two"}, {"two", "one"}}) {
            Sessions proxy = new Sessions(LINGER);
            proxy.told(source[0], new Differences(true, List.of(session(1, 1)), List.of()), 0);
            proxy.told(source[1], new Differences(true, List.of(session(1, 2)), List.of()), 1);
            proxy.told(source[0], new Differences(true, List.of(session(1, 1), session(2, 1)), List.of()), 2);
            assertEquals(proxy.view(3).members(), List.of(session(1, 2), session(2, 1)));
        }
    }

    /** A link that comes back finds nothing to tell; its source counts again all the same. */
    @Test
    public void aSourceThatIsFoundAgainCounts() {
        Sessions proxy = new Sessions(LINGER);
        proxy.told("one", new Differences(true, List.of(session(1, 1)), List.of()), 0);
        proxy.told("two", new Differences(true, List.of(session(2, 1)), List.of()), 0);
        proxy.lost("one", 10);
        assertEquals(proxy.view(LINGER + 10).size(), 2);
        assertEquals(proxy.view(LINGER + 11).size(), 1);
        proxy.found("one");
        assertEquals(proxy.view(LINGER + 12).size(), 2);
        proxy.lost("one", LINGER + 20);
        proxy.lost("two", LINGER + 20);
        assertTrue(proxy.alone());
        assertEquals(proxy.view(9 * LINGER).size(), 2, "whoever is alone goes on with what was last known");
    }
}
