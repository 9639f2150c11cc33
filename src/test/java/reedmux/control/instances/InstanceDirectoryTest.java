package reedmux.control.instances;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import reedmux.testing.ScheduleExplorer;

/** A checker's life told in every order. */
public class InstanceDirectoryTest {
    private static final long NOW = 5_000_000;

    private static CheckerIncarnation incarnation(String id, String address, int phase, long seq) {
        return new CheckerIncarnation(id, "desk", address, "here", 3, phase, seq, 0, false);
    }

    @Test
    public void phaseNeverGoesBackInAnyOrder() {
        List<CheckerIncarnation> told = List.of(
                incarnation("a", "10.0.0.1:80", CheckerIncarnation.READY, 1),
                incarnation("a", "10.0.0.1:80", CheckerIncarnation.READY, 2),
                incarnation("a", "10.0.0.1:80", CheckerIncarnation.DRAINING, 3),
                incarnation("a", "10.0.0.1:80", CheckerIncarnation.GONE, 3));
        int plays = ScheduleExplorer.exploreAll(1000, orders -> {
            InstanceDirectory fleet = new InstanceDirectory();
            List<CheckerIncarnation> left = new ArrayList<>(told);
            int reached = CheckerIncarnation.READY;
            while (!left.isEmpty()) {
                CheckerIncarnation next = left.remove(orders.choose(left.size()));
                fleet.merge(next, NOW);
                reached = Math.max(reached, next.phase());
                assertEquals(fleet.get("a", NOW).phase(), reached);
            }
            assertEquals(fleet.get("a", NOW).sequence(), 3);
        });
        assertEquals(plays, 24);
    }

    /** Two that tell each other end with the same, whoever heard what first. */
    @Test
    public void directoriesThatExchangeUpdatesConverge() {
        List<CheckerIncarnation> told = List.of(
                incarnation("a", "10.0.0.1:80", CheckerIncarnation.READY, 1),
                incarnation("a", "10.0.0.1:80", CheckerIncarnation.DRAINING, 4),
                incarnation("b", "10.0.0.2:80", CheckerIncarnation.READY, 7));
        ScheduleExplorer.exploreAll(1000, orders -> {
            InstanceDirectory[] fleets = {new InstanceDirectory(), new InstanceDirectory()};
            for (CheckerIncarnation life : told) {
                fleets[orders.choose(2)].merge(life, NOW);
            }
            fleets[0].changedSince(0, NOW).forEach(life -> fleets[1].merge(life, NOW));
            fleets[1].changedSince(0, NOW).forEach(life -> fleets[0].merge(life, NOW));
            for (String id : new String[] {"a", "b"}) {
                assertEquals(
                        fleets[0].get(id, NOW).phase(), fleets[1].get(id, NOW).phase());
                assertEquals(
                        fleets[0].get(id, NOW).sequence(),
                        fleets[1].get(id, NOW).sequence());
            }
        });
    }

    @Test
    public void newIncarnationAtAnAddressEndsThePreviousOne() {
        InstanceDirectory fleet = new InstanceDirectory();
        fleet.onHeartbeat(incarnation("a", "10.0.0.1:80", CheckerIncarnation.READY, 9), NOW);
        fleet.onHeartbeat(incarnation("b", "10.0.0.1:80", CheckerIncarnation.READY, 1), NOW + 3_000_000);
        assertEquals(fleet.get("a", NOW).phase(), CheckerIncarnation.READY); // its call may only be late
        assertTrue(fleet.onHeartbeat(incarnation("b", "10.0.0.1:80", CheckerIncarnation.READY, 2), NOW + 4_500_000));
        assertEquals(fleet.get("a", NOW).phase(), CheckerIncarnation.GONE);
        assertEquals(fleet.get("b", NOW).phase(), CheckerIncarnation.READY);
        fleet.onHeartbeat(incarnation("a", "10.0.0.1:80", CheckerIncarnation.READY, 10), NOW + 5_000_000);
        assertEquals(fleet.get("b", NOW).phase(), CheckerIncarnation.READY);
    }

    @Test
    public void instanceIsUnresponsiveUntilItsNextHeartbeat() {
        InstanceDirectory fleet = new InstanceDirectory();
        fleet.merge(incarnation("a", "10.0.0.1:80", CheckerIncarnation.READY, 1), NOW);
        long before = fleet.lastChange();
        fleet.detectTimeouts(NOW + 7_000_000, 6_000_000);
        assertTrue(fleet.get("a", NOW).unresponsive() && fleet.lastChange() > before);
        fleet.onHeartbeat(incarnation("a", "10.0.0.1:80", CheckerIncarnation.READY, 2), NOW + 8_000_000);
        assertTrue(!fleet.get("a", NOW).unresponsive());
    }

    /** What others tell comes late and in any order: of a checker that beats it ends nothing. */
    @Test
    public void lateUpdateOfAPreviousAddressHolderEndsNobody() {
        CheckerIncarnation old = incarnation("a", "10.0.0.1:80", CheckerIncarnation.READY, 9);
        CheckerIncarnation next = incarnation("b", "10.0.0.1:80", CheckerIncarnation.READY, 4);
        int plays = ScheduleExplorer.exploreAll(1000, orders -> {
            InstanceDirectory fleet = new InstanceDirectory();
            List<CheckerIncarnation> left =
                    new ArrayList<>(List.of(old, next, incarnation("b", "10.0.0.1:80", CheckerIncarnation.READY, 5)));
            long now = NOW;
            while (!left.isEmpty()) {
                fleet.merge(left.remove(orders.choose(left.size())), now);
                now += 3_000_000;
            }
            assertEquals(fleet.get("b", now).phase(), CheckerIncarnation.READY);
        });
        assertEquals(plays, 6);
    }
}
