package reedmux.control.instances;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import reedmux.testing.ScheduleExplorer;

/** Tests the merging of reports on instances, which may arrive in every order. */
public class InstanceDirectoryTest {
    private static final long NOW = 5_000_000;

    private static InstanceIncarnation incarnation(String id, String address, int phase, long sequence) {
        return new InstanceIncarnation(id, "desk", address, "here", 3, phase, sequence, 0, false);
    }

    @Test
    public void phaseNeverDecreasesInAnyOrder() {
        List<InstanceIncarnation> reports = List.of(
                incarnation("a", "10.0.0.1:80", InstanceIncarnation.READY, 1),
                incarnation("a", "10.0.0.1:80", InstanceIncarnation.READY, 2),
                incarnation("a", "10.0.0.1:80", InstanceIncarnation.DRAINING, 3),
                incarnation("a", "10.0.0.1:80", InstanceIncarnation.GONE, 3));
        int orderings = ScheduleExplorer.exploreAll(1000, schedule -> {
            InstanceDirectory directory = new InstanceDirectory();
            List<InstanceIncarnation> remaining = new ArrayList<>(reports);
            int highestPhase = InstanceIncarnation.READY;
            while (!remaining.isEmpty()) {
                InstanceIncarnation next = remaining.remove(schedule.choose(remaining.size()));
                directory.merge(next, NOW);
                highestPhase = Math.max(highestPhase, next.phase());
                assertEquals(directory.get("a", NOW).phase(), highestPhase);
            }
            assertEquals(directory.get("a", NOW).sequence(), 3);
        });
        assertEquals(orderings, 24);
    }

    /** Two directories that merge each other's changes converge, no matter which one received a report first. */
    @Test
    public void directoriesThatExchangeUpdatesConverge() {
        List<InstanceIncarnation> reports = List.of(
                incarnation("a", "10.0.0.1:80", InstanceIncarnation.READY, 1),
                incarnation("a", "10.0.0.1:80", InstanceIncarnation.DRAINING, 4),
                incarnation("b", "10.0.0.2:80", InstanceIncarnation.READY, 7));
        ScheduleExplorer.exploreAll(1000, schedule -> {
            InstanceDirectory[] directories = {new InstanceDirectory(), new InstanceDirectory()};
            for (InstanceIncarnation report : reports) {
                directories[schedule.choose(2)].merge(report, NOW);
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
        directory.onHeartbeat(incarnation("a", "10.0.0.1:80", InstanceIncarnation.READY, 9), NOW);
        directory.onHeartbeat(incarnation("b", "10.0.0.1:80", InstanceIncarnation.READY, 1), NOW + 3_000_000);
        assertEquals(directory.get("a", NOW).phase(), InstanceIncarnation.READY); // its next heartbeat may just be late
        assertTrue(
                directory.onHeartbeat(incarnation("b", "10.0.0.1:80", InstanceIncarnation.READY, 2), NOW + 4_500_000));
        assertEquals(directory.get("a", NOW).phase(), InstanceIncarnation.GONE);
        assertEquals(directory.get("b", NOW).phase(), InstanceIncarnation.READY);
        directory.onHeartbeat(incarnation("a", "10.0.0.1:80", InstanceIncarnation.READY, 10), NOW + 5_000_000);
        assertEquals(directory.get("b", NOW).phase(), InstanceIncarnation.READY);
    }

    @Test
    public void instanceIsUnresponsiveUntilItsNextHeartbeat() {
        InstanceDirectory directory = new InstanceDirectory();
        directory.merge(incarnation("a", "10.0.0.1:80", InstanceIncarnation.READY, 1), NOW);
        long before = directory.lastChange();
        directory.detectTimeouts(NOW + 7_000_000, 6_000_000);
        assertTrue(directory.get("a", NOW).unresponsive() && directory.lastChange() > before);
        directory.onHeartbeat(incarnation("a", "10.0.0.1:80", InstanceIncarnation.READY, 2), NOW + 8_000_000);
        assertTrue(!directory.get("a", NOW).unresponsive());
    }

    /** Reports from other processes may be late and in any order, so they claim no address. */
    @Test
    public void lateReportOfThePreviousAddressHolderEndsNoIncarnation() {
        InstanceIncarnation previous = incarnation("a", "10.0.0.1:80", InstanceIncarnation.READY, 9);
        InstanceIncarnation next = incarnation("b", "10.0.0.1:80", InstanceIncarnation.READY, 4);
        int orderings = ScheduleExplorer.exploreAll(1000, schedule -> {
            InstanceDirectory directory = new InstanceDirectory();
            List<InstanceIncarnation> remaining = new ArrayList<>(
                    List.of(previous, next, incarnation("b", "10.0.0.1:80", InstanceIncarnation.READY, 5)));
            long now = NOW;
            while (!remaining.isEmpty()) {
                directory.merge(remaining.remove(schedule.choose(remaining.size())), now);
                now += 3_000_000;
            }
            assertEquals(directory.get("b", now).phase(), InstanceIncarnation.READY);
        });
        assertEquals(orderings, 6);
    }
}
