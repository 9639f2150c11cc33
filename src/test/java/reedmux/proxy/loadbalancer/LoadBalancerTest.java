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
import reedmux.control.instances.InstanceIncarnation;
import reedmux.control.session.ProxySession;
import reedmux.control.session.SessionView;

/** Tests how the proxies share the slots of the checkers and which checker a proxy chooses. */
public class LoadBalancerTest {
    private static final long NOW = 10_000_000;
    private static final String[] ZONES = {"a", "b", "c"};

    private static InstanceIncarnation incarnation(String id, String zone, int capacity, int phase) {
        return new InstanceIncarnation(id, "desk", "10.0.0.1:80", zone, capacity, phase, 1, 0, false);
    }

    /**
     * Number of proxies, number of checkers, capacity of each checker, maximum number of requests in flight at one
     * checker from all proxies, and its connection limit.
     */
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
    public void requestsOfAllProxiesStayWithinTheLimitOfEachChecker(
            int proxies, int checkers, int capacity, int maxInFlight, int connectionLimit) {
        List<ProxySession> members = new ArrayList<>();
        for (int i = 0; i < proxies; i++) {
            members.add(new ProxySession("edge-" + i, "10.1.0." + i, ZONES[i % 3], i));
        }
        Map<String, Integer> inFlightByChecker = new HashMap<>();
        for (ProxySession member : members) {
            LoadBalancer loadBalancer = new LoadBalancer(member.node(), member.zone(), 1);
            loadBalancer.setConnectionLimit("desk", connectionLimit);
            for (int i = 0; i < checkers; i++) {
                loadBalancer.onIncarnationUpdate(
                        incarnation("c-" + i, ZONES[i % 3], capacity, InstanceIncarnation.READY), NOW);
            }
            loadBalancer.onViewChange(SessionView.of(members));
            while (true) {
                CheckerStats checker = loadBalancer.choose("desk", Set.of(), false, 400_000, NOW);
                if (checker == null) {
                    break;
                }
                checker.onRequestStarted(NOW);
                inFlightByChecker.merge(checker.id(), 1, Integer::sum);
            }
        }
        assertEquals(inFlightByChecker.size(), checkers);
        inFlightByChecker.forEach((id, inFlight) -> assertTrue(
                inFlight <= maxInFlight && inFlight >= Math.min(capacity, maxInFlight / 2),
                id + " has this many requests in flight: " + inFlight));
    }

    @Test
    public void neverChoosesDrainingCheckersAndChoosesFailedOnesOnlyAsALastResort() {
        LoadBalancer loadBalancer = new LoadBalancer("me", "a", 1);
        loadBalancer.onIncarnationUpdate(incarnation("one", "a", 3, InstanceIncarnation.READY), NOW);
        loadBalancer.onIncarnationUpdate(incarnation("two", "a", 3, InstanceIncarnation.READY), NOW);
        loadBalancer.get("one").onFailure(NOW);
        for (int i = 0; i < 20; i++) {
            assertEquals(
                    loadBalancer.choose("desk", Set.of(), false, 400_000, NOW).id(), "two");
        }
        loadBalancer.onIncarnationUpdate(incarnation("two", "a", 3, InstanceIncarnation.DRAINING), NOW);
        assertEquals(loadBalancer.choose("desk", Set.of(), false, 400_000, NOW).id(), "one");
        assertNull(loadBalancer.choose("desk", new HashSet<>(Set.of("one")), false, 400_000, NOW));
        loadBalancer.onIncarnationUpdate(incarnation("one", "a", 3, InstanceIncarnation.GONE), NOW);
        assertNull(loadBalancer.choose("desk", Set.of(), false, 400_000, NOW));
    }

    @Test
    public void choosesTheOwnZoneForLargeBodiesWhileItHasCapacity() {
        LoadBalancer loadBalancer = new LoadBalancer("me", "a", 1);
        loadBalancer.onViewChange(SessionView.of(List.of(new ProxySession("me", "10.1.0.1", "a", 1))));
        loadBalancer.onIncarnationUpdate(incarnation("near", "a", 3, InstanceIncarnation.READY), NOW);
        loadBalancer.onIncarnationUpdate(incarnation("far", "b", 3, InstanceIncarnation.READY), NOW);
        assertEquals(loadBalancer.choose("desk", Set.of(), true, 400_000, NOW).id(), "near");
        for (int i = 0; i < 6; i++) {
            loadBalancer.get("near").onRequestStarted(NOW);
        }
        assertNotNull(loadBalancer.choose("desk", Set.of(), true, 400_000, NOW));
        assertEquals(loadBalancer.choose("desk", Set.of(), true, 400_000, NOW).id(), "far");
    }
}
