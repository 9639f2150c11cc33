package reedmux.control.instances;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import reedmux.control.changes.ChangeCounter;
import reedmux.testing.ScheduleExplorer;

/**
 * Tests the ownership of instances. The owner of an instance only reports its changes; the other registries consider
 * the instance responsive as long as they receive heartbeats of the owner.
 */
public class InstanceOwnershipTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long TIMEOUT_MICROS = 6 * SECOND_MICROS;

    /** A registry, and the last change that it has pulled from each of the others. */
    private static final class RegistryPeer {
        private final ChangeCounter counter = new ChangeCounter();
        private final InstanceDirectory directory;
        private final long[] pulledChanges = new long[3];

        private RegistryPeer(int index) {
            directory = new InstanceDirectory(index + 1, counter);
        }

        private void pull(int from, RegistryPeer source, long now) {
            long upToChange = source.counter.last();
            source.directory.changedSince(pulledChanges[from], now).forEach(report -> directory.merge(report, now));
            source.directory
                    .ownersChangedSince(pulledChanges[from])
                    .forEach(report -> directory.mergeOwner(report, now));
            pulledChanges[from] = upToChange;
        }
    }

    private static RegistryPeer[] registries() {
        return new RegistryPeer[] {new RegistryPeer(0), new RegistryPeer(1), new RegistryPeer(2)};
    }

    private static InstanceIncarnation heartbeat(String id, long sequence) {
        return new InstanceIncarnation(
                id, "desk", "10.0.0.1:80", "here", 3, InstanceIncarnation.READY, sequence, 0, false);
    }

    private static boolean isUnresponsive(RegistryPeer registry, long now) {
        return registry.directory.get("a", now).unresponsive();
    }

    private static long owner(RegistryPeer registry) {
        return registry.directory.ownersChangedSince(0).get(0).processId();
    }

    private static void pullAll(RegistryPeer[] registries, long now) {
        for (int round = 0; round < 4; round++) {
            for (int to = 0; to < 3; to++) {
                for (int from = 0; from < 3; from++) {
                    if (to != from) {
                        registries[to].pull(from, registries[from], now);
                    }
                }
            }
        }
    }

    /** Four heartbeats arrive at any registry with limited reordering, and the registries pull changes in between. */
    @Test
    public void registriesAgreeOnTheOwnerInAllOrders() {
        int orderings = ScheduleExplorer.exploreAll(100_000, schedule -> {
            RegistryPeer[] registries = registries();
            List<Long> remaining = new ArrayList<>(List.of(1L, 2L, 3L, 4L));
            long expectedOwner = 0;
            while (!remaining.isEmpty()) {
                long sequence = remaining.remove(schedule.choose(Math.min(2, remaining.size())));
                int receiver = schedule.choose(3);
                registries[receiver].directory.onHeartbeat(heartbeat("a", sequence), SECOND_MICROS);
                expectedOwner = sequence == 4 ? receiver + 1 : expectedOwner;
                int to = schedule.choose(3);
                registries[to].pull((to + 1) % 3, registries[(to + 1) % 3], SECOND_MICROS);
            }
            pullAll(registries, SECOND_MICROS);
            for (RegistryPeer registry : registries) {
                assertEquals(owner(registry), expectedOwner);
                assertFalse(isUnresponsive(registry, SECOND_MICROS));
            }
        });
        assertEquals(orderings, 52488);
    }

    /** A delayed heartbeat arrives at another registry after the owner has received later ones. */
    @Test
    public void lateHeartbeatAtAnotherRegistryDoesNotChangeTheOwner() {
        RegistryPeer[] registries = registries();
        registries[0].directory.onHeartbeat(heartbeat("a", 5), SECOND_MICROS);
        pullAll(registries, SECOND_MICROS);
        registries[1].directory.onHeartbeat(heartbeat("a", 4), SECOND_MICROS);
        assertEquals(owner(registries[1]), 1);
        registries[0].directory.onHeartbeat(heartbeat("a", 100), 2 * SECOND_MICROS);
        registries[1].directory.onHeartbeat(heartbeat("a", 99), 2 * SECOND_MICROS);
        assertEquals(owner(registries[1]), 2); // it does not know the owner's later heartbeat yet
        pullAll(registries, 2 * SECOND_MICROS);
        for (RegistryPeer registry : registries) {
            assertEquals(owner(registry), 1);
        }
    }

    /** As long as an instance sends heartbeats, its owner reports no changes and no registry times the instance out. */
    @Test
    public void heartbeatsToTheOwnerKeepTheInstanceResponsiveWithoutReplication() {
        RegistryPeer[] registries = registries();
        registries[0].directory.onHeartbeat(heartbeat("a", 1), SECOND_MICROS);
        pullAll(registries, SECOND_MICROS);
        long before = registries[0].counter.last();
        for (int i = 2; i < 60; i++) {
            long now = i * SECOND_MICROS;
            registries[0].directory.onHeartbeat(heartbeat("a", i), now);
            List<RegistryHeartbeat> heartbeats = registries[0].directory.nextHeartbeats(now);
            heartbeats.forEach(heartbeat -> registries[1].directory.onRegistryHeartbeat(heartbeat, now));
            // The third registry receives the heartbeats of the first one only through the second.
            registries[1]
                    .directory
                    .nextHeartbeats(now)
                    .forEach(heartbeat -> registries[2].directory.onRegistryHeartbeat(heartbeat, now));
            for (RegistryPeer registry : registries) {
                registry.directory.detectTimeouts(now, TIMEOUT_MICROS);
                assertFalse(isUnresponsive(registry, now));
            }
        }
        assertEquals(registries[0].counter.last(), before);
    }

    @Test
    public void ownerReportsAnUnresponsiveInstance() {
        RegistryPeer[] registries = registries();
        registries[0].directory.onHeartbeat(heartbeat("a", 1), SECOND_MICROS);
        pullAll(registries, SECOND_MICROS);
        registries[0].directory.onHeartbeat(heartbeat("a", 9), 2 * SECOND_MICROS);
        long now = 2 * SECOND_MICROS + TIMEOUT_MICROS + 1;
        registries[0]
                .directory
                .nextHeartbeats(now)
                .forEach(heartbeat -> registries[1].directory.onRegistryHeartbeat(heartbeat, now));
        registries[0].directory.detectTimeouts(now, TIMEOUT_MICROS);
        registries[1].directory.detectTimeouts(now, TIMEOUT_MICROS);
        assertTrue(isUnresponsive(registries[0], now) && !isUnresponsive(registries[1], now));
        pullAll(registries, now);
        assertTrue(isUnresponsive(registries[1], now) && isUnresponsive(registries[2], now));
    }

    /**
     * The timeout of a lost owner's instances starts at the owner's last heartbeat, so they can move to another one.
     */
    @Test
    public void instancesOfALostOwnerTimeOutAfterItsLastHeartbeat() {
        RegistryPeer[] registries = registries();
        registries[0].directory.onHeartbeat(heartbeat("a", 1), SECOND_MICROS);
        pullAll(registries, SECOND_MICROS);
        long lastHeartbeat = 20 * SECOND_MICROS;
        registries[0]
                .directory
                .nextHeartbeats(lastHeartbeat)
                .forEach(heartbeat -> registries[1].directory.onRegistryHeartbeat(heartbeat, lastHeartbeat));
        registries[1]
                .directory
                .nextHeartbeats(lastHeartbeat)
                .forEach(heartbeat -> registries[2].directory.onRegistryHeartbeat(heartbeat, lastHeartbeat));
        for (long now = lastHeartbeat; now <= lastHeartbeat + TIMEOUT_MICROS; now += SECOND_MICROS) {
            long forwardTime = now;
            // The registries forward the lost owner's counter to each other, which must not keep the owner alive.
            registries[1]
                    .directory
                    .nextHeartbeats(now)
                    .forEach(heartbeat -> registries[2].directory.onRegistryHeartbeat(heartbeat, forwardTime));
            registries[2]
                    .directory
                    .nextHeartbeats(now)
                    .forEach(heartbeat -> registries[1].directory.onRegistryHeartbeat(heartbeat, forwardTime));
            registries[1].directory.detectTimeouts(now, TIMEOUT_MICROS);
            assertFalse(
                    isUnresponsive(registries[1], now),
                    (now - lastHeartbeat) / SECOND_MICROS + " s after the last heartbeat of its owner");
        }
        registries[1].directory.detectTimeouts(lastHeartbeat + TIMEOUT_MICROS + 1, TIMEOUT_MICROS);
        registries[2].directory.detectTimeouts(lastHeartbeat + TIMEOUT_MICROS + 1, TIMEOUT_MICROS);
        assertTrue(isUnresponsive(registries[1], lastHeartbeat) && isUnresponsive(registries[2], lastHeartbeat));
        registries[1].directory.onHeartbeat(heartbeat("a", 50), lastHeartbeat + TIMEOUT_MICROS + SECOND_MICROS);
        registries[2].pull(1, registries[1], lastHeartbeat + TIMEOUT_MICROS + SECOND_MICROS);
        assertTrue(!isUnresponsive(registries[2], lastHeartbeat) && owner(registries[2]) == 2);
    }

    /** A registry that misses the owner's heartbeats times the instance out; the owner then reports it again. */
    @Test
    public void ownerRefutesAFalseTimeout() {
        int orderings = ScheduleExplorer.exploreAll(10_000, schedule -> {
            RegistryPeer[] registries = registries();
            registries[0].directory.onHeartbeat(heartbeat("a", 1), SECOND_MICROS);
            pullAll(registries, SECOND_MICROS);
            long now = 30 * SECOND_MICROS;
            registries[0].directory.onHeartbeat(heartbeat("a", 20), now);
            registries[1].directory.detectTimeouts(now, TIMEOUT_MICROS);
            assertTrue(isUnresponsive(registries[1], now));
            for (int i = 0; i < 4; i++) {
                int to = schedule.choose(3);
                int from = (to + 1 + schedule.choose(2)) % 3;
                registries[to].pull(from, registries[from], now);
            }
            pullAll(registries, now);
            for (RegistryPeer registry : registries) {
                assertFalse(isUnresponsive(registry, now));
            }
        });
        assertEquals(orderings, 1296);
    }

    /** The owner of the previous holder marks it as gone because its heartbeats are missing. */
    @Test
    public void addressTakenOverAtAnotherRegistryEndsThePreviousHolder() {
        RegistryPeer[] registries = registries();
        registries[0].directory.onHeartbeat(heartbeat("a", 8), SECOND_MICROS);
        pullAll(registries, SECOND_MICROS);
        registries[1].directory.onHeartbeat(heartbeat("b", 1), 2 * SECOND_MICROS);
        pullAll(registries, 2 * SECOND_MICROS);
        registries[0].directory.detectTimeouts(5 * SECOND_MICROS, TIMEOUT_MICROS);
        assertEquals(registries[0].directory.get("a", SECOND_MICROS).phase(), InstanceIncarnation.READY);
        registries[0].directory.detectTimeouts(5 * SECOND_MICROS + 1, TIMEOUT_MICROS);
        pullAll(registries, 6 * SECOND_MICROS);
        for (RegistryPeer registry : registries) {
            assertEquals(registry.directory.get("a", SECOND_MICROS).phase(), InstanceIncarnation.GONE);
            assertEquals(registry.directory.get("b", SECOND_MICROS).phase(), InstanceIncarnation.READY);
        }
    }
}
