package reedmux.proxy.loadbalancer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reedmux.control.instances.CheckerIncarnation;
import reedmux.control.session.ProxySession;
import reedmux.control.session.SessionView;

/** What many proxies may send to one checker together, and whom one chooses. */
public class LoadBalancerTest {
    private static final long NOW = 10_000_000;
    private static final String[] ZONES = {"a", "b", "c"};

    private static CheckerIncarnation incarnation(String id, String zone, int capacity, int phase) {
        return new CheckerIncarnation(id, "desk", "10.0.0.1:80", zone, capacity, phase, 1, 0, false);
    }

    /** Proxies, checkers, slots of each, what may be at one at the most, and its ceiling of connections. */
    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {
            {8, 22, 3, 15, 110},
            {10, 27, 6, 30, 120},
            {65, 179, 3, 15, 450},
            {75, 244, 6, 30, 510},
            {1, 4, 3, 15, 110},
            {8, 22, 3, 10, 10},
            {10, 27, 6, 4, 4},
            {65, 179, 3, 2, 2},
            {75, 244, 6, 1, 1},
            {3, 1, 3, 5, 5}
        };
    }

    @Test(dataProvider = "fleets")
    public void allProxiesTogetherNeverFillACheckersQueue(int proxies, int checkers, int slots, int most, int ceiling) {
        List<ProxySession> members = new ArrayList<>();
        for (int i = 0; i < proxies; i++) {
            members.add(new ProxySession("edge-" + i, "10.1.0." + i, ZONES[i % 3], i));
        }
        Map<String, Integer> sums = new HashMap<>();
        for (ProxySession member : members) {
            LoadBalancer roster = new LoadBalancer(member.node(), member.zone(), 1);
            roster.setConnectionLimit("desk", ceiling);
            for (int i = 0; i < checkers; i++) {
                roster.onIncarnationUpdate(incarnation("c-" + i, ZONES[i % 3], slots, CheckerIncarnation.READY), NOW);
            }
            roster.onViewChange(SessionView.of(members));
            while (true) {
                CheckerStats next = roster.choose("desk", Set.of(), false, 400_000, NOW);
                if (next == null) {
                    break;
                }
                next.onRequestStarted(NOW);
                sums.merge(next.id(), 1, Integer::sum);
            }
        }
        assertEquals(sums.size(), checkers);
        sums.forEach((id, sum) -> assertTrue(sum <= most && sum >= Math.min(slots, most / 2), id + " has " + sum));
    }

    @Test
    public void doesNotChooseDrainingCheckersAndFailedOnesOnlyIfThereIsNoOther() {
        LoadBalancer roster = new LoadBalancer("me", "a", 1);
        roster.onIncarnationUpdate(incarnation("one", "a", 3, CheckerIncarnation.READY), NOW);
        roster.onIncarnationUpdate(incarnation("two", "a", 3, CheckerIncarnation.READY), NOW);
        roster.get("one").onFailure(NOW);
        for (int i = 0; i < 20; i++) {
            assertEquals(roster.choose("desk", Set.of(), false, 400_000, NOW).id(), "two");
        }
        roster.onIncarnationUpdate(incarnation("two", "a", 3, CheckerIncarnation.DRAINING), NOW);
        assertEquals(roster.choose("desk", Set.of(), false, 400_000, NOW).id(), "one");
        assertNull(roster.choose("desk", new HashSet<>(Set.of("one")), false, 400_000, NOW));
        roster.onIncarnationUpdate(incarnation("one", "a", 3, CheckerIncarnation.GONE), NOW);
        assertNull(roster.choose("desk", Set.of(), false, 400_000, NOW));
    }

    @Test
    public void largeBodiesStayInTheZoneWhileItHasCapacity() {
        LoadBalancer roster = new LoadBalancer("me", "a", 1);
        roster.onViewChange(SessionView.of(List.of(new ProxySession("me", "10.1.0.1", "a", 1))));
        roster.onIncarnationUpdate(incarnation("near", "a", 3, CheckerIncarnation.READY), NOW);
        roster.onIncarnationUpdate(incarnation("far", "b", 3, CheckerIncarnation.READY), NOW);
        assertEquals(roster.choose("desk", Set.of(), true, 400_000, NOW).id(), "near");
        for (int i = 0; i < 6; i++) {
            roster.get("near").onRequestStarted(NOW);
        }
        assertNotNull(roster.choose("desk", Set.of(), true, 400_000, NOW));
        assertEquals(roster.choose("desk", Set.of(), true, 400_000, NOW).id(), "far");
    }
}
