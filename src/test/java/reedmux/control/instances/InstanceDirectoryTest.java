package reedmux.control.instances;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import reedmux.testing.ScheduleExplorer;

/** Reports on instances that arrive in every order. */
public class InstanceDirectoryTest {
    private static final long NOW = 5_000_000;

    private static CheckerIncarnation incarnation(String id, String address, int phase, long seq) {
        return new CheckerIncarnation(id, "desk", address, "here", 3, phase, seq, 0, false);
    }

    @Test
    public void phaseNeverGoesBackInAnyOrder() {
        List<CheckerIncarnation> reports = List.of(
                incarnation("a", "10.0.0.1:80", CheckerIncarnation.READY, 1),
                incarnation("a", "10.0.0.1:80", CheckerIncarnation.READY, 2),
                incarnation("a", "10.0.0.1:80", CheckerIncarnation.DRAINING, 3),
                incarnation("a", "10.0.0.1:80", CheckerIncarnation.GONE, 3));
        int orderings = ScheduleExplorer.exploreAll(1000, orders -> {
            InstanceDirectory directory = new InstanceDirectory();
            List<CheckerIncarnation> left = new ArrayList<>(reports);
            int reached = CheckerIncarnation.READY;
            while (!left.isEmpty()) {
                CheckerIncarnation next = left.remove(orders.choose(left.size()));
                directory.merge(next, NOW);
                reached = Math.max(reached, next.phase());
                assertEquals(directory.get("a", NOW).phase(), reached);
            }
            assertEquals(directory.get("a", NOW).sequence(), 3);
        });
        assertEquals(orderings, 24);
    }

    /** Two directories that merge each other's changes hold the same, whichever received a report first. */
    @Test
    public void directoriesThatExchangeUpdatesConverge() {
        List<CheckerIncarnation> reports = List.of(
                incarnation("a", "10.0.0.1:80", CheckerIncarnation.READY, 1),
                incarnation("a", "10.0.0.1:80", CheckerIncarnation.DRAINING, 4),
                incarnation("b", "10.0.0.2:80", CheckerIncarnation.READY, 7));
        ScheduleExplorer.exploreAll(1000, orders -> {
            InstanceDirectory[] directories = {new InstanceDirectory(), new InstanceDirectory()};
            for (CheckerIncarnation report : reports) {
                directories[orders.choose(2)].merge(report, NOW);
            }
            directories[0].changedSince(0, NOW).forEach(report -> directories[1].merge(report, NOW));
            directories[1].changedSince(0, NOW).forEach(report -> directories[0].merge(report, NOW));
            for (String id : new String[] {"a", "b"}) {
                assertEquals(
                        directories[0].get(id, NOW).phase(),
                        directories[1].get(id, NOW).phase());
                assertEquals(
                        directories[0].get(id, NOW).sequence(),
                        directories[1].get(id, NOW).sequence());
            }
        });
    }

    @Test
    public void newIncarnationAtAnAddressEndsThePreviousOne() {
        InstanceDirectory directory = new InstanceDirectory();
        directory.onHeartbeat(incarnation("a", "10.0.0.1:80", CheckerIncarnation.READY, 9), NOW);
        directory.onHeartbeat(incarnation("b", "10.0.0.1:80", CheckerIncarnation.READY, 1), NOW + 3_000_000);
        assertEquals(directory.get("a", NOW).phase(), CheckerIncarnation.READY); // its heartbeat may only be late
        assertTrue(
                directory.onHeartbeat(incarnation("b", "10.0.0.1:80", CheckerIncarnation.READY, 2), NOW + 4_500_000));
        assertEquals(directory.get("a", NOW).phase(), CheckerIncarnation.GONE);
        assertEquals(directory.get("b", NOW).phase(), CheckerIncarnation.READY);
        directory.onHeartbeat(incarnation("a", "10.0.0.1:80", CheckerIncarnation.READY, 10), NOW + 5_000_000);
        assertEquals(directory.get("b", NOW).phase(), CheckerIncarnation.READY);
    }

    @Test
    public void instanceIsUnresponsiveUntilItsNextHeartbeat() {
        InstanceDirectory directory = new InstanceDirectory();
        directory.merge(incarnation("a", "10.0.0.1:80", CheckerIncarnation.READY, 1), NOW);
        long before = directory.lastChange();
        directory.detectTimeouts(NOW + 7_000_000, 6_000_000);
        assertTrue(directory.get("a", NOW).unresponsive() && directory.lastChange() > before);
        directory.onHeartbeat(incarnation("a", "10.0.0.1:80", CheckerIncarnation.READY, 2), NOW + 8_000_000);
        assertTrue(!directory.get("a", NOW).unresponsive());
    }

    /** Reports of others come late and in any order, so they claim no address. */
    @Test
    public void lateUpdateOfAPreviousAddressHolderEndsNobody() {
        CheckerIncarnation old = incarnation("a", "10.0.0.1:80", CheckerIncarnation.READY, 9);
        CheckerIncarnation next = incarnation("b", "10.0.0.1:80", CheckerIncarnation.READY, 4);
        int orderings = ScheduleExplorer.exploreAll(1000, orders -> {
            InstanceDirectory directory = new InstanceDirectory();
            List<CheckerIncarnation> left =
                    new ArrayList<>(List.of(old, next, incarnation("b", "10.0.0.1:80", CheckerIncarnation.READY, 5)));
            long now = NOW;
            while (!left.isEmpty()) {
                directory.merge(left.remove(orders.choose(left.size())), now);
                now += 3_000_000;
            }
            assertEquals(directory.get("b", now).phase(), CheckerIncarnation.READY);
        });
        assertEquals(orderings, 6);
    }
}
