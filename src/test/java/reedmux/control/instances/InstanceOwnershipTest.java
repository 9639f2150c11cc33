package reedmux.control.instances;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import reedmux.control.changes.ChangeCounter;
import reedmux.testing.ScheduleExplorer;

/** The owner of an instance reports its changes only; for others the instance lives as long as its owner does. */
public class InstanceOwnershipTest {
    private static final long SECOND = 1_000_000;
    private static final long SILENCE = 6 * SECOND;

    /** A registry, and how far it has read the changes of the others. */
    private static final class RegistryPeer {
        private final ChangeCounter counter = new ChangeCounter();
        private final InstanceDirectory directory;
        private final long[] seenChanges = new long[3];

        private RegistryPeer(int self) {
            directory = new InstanceDirectory(self + 1, counter);
        }

        private void pull(int from, RegistryPeer other, long now) {
            long upTo = other.counter.last();
            other.directory.changedSince(seenChanges[from], now).forEach(report -> directory.merge(report, now));
            other.directory.ownersChangedSince(seenChanges[from]).forEach(report -> directory.mergeOwner(report, now));
            seenChanges[from] = upTo;
        }
    }

    private static RegistryPeer[] registries() {
        return new RegistryPeer[] {new RegistryPeer(0), new RegistryPeer(1), new RegistryPeer(2)};
    }

    private static InstanceIncarnation heartbeat(String id, long seq) {
        return new InstanceIncarnation(id, "desk", "10.0.0.1:80", "here", 3, InstanceIncarnation.READY, seq, 0, false);
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

    /** Four heartbeats, each at any registry and in any order, with pulls between them. */
    @Test
    public void registriesAgreeOnTheOwnerInAllOrders() {
        int orderings = ScheduleExplorer.exploreAll(100_000, orders -> {
            RegistryPeer[] registries = registries();
            List<Long> left = new ArrayList<>(List.of(1L, 2L, 3L, 4L));
            long best = 0;
            while (!left.isEmpty()) {
                long seq = left.remove(orders.choose(Math.min(2, left.size())));
                int at = orders.choose(3);
                registries[at].directory.onHeartbeat(heartbeat("a", seq), SECOND);
                best = seq == 4 ? at + 1 : best;
                int to = orders.choose(3);
                registries[to].pull((to + 1) % 3, registries[(to + 1) % 3], SECOND);
            }
            pullAll(registries, SECOND);
            for (RegistryPeer registry : registries) {
                assertEquals(owner(registry), best);
                assertFalse(isUnresponsive(registry, SECOND));
            }
        });
        assertEquals(orderings, 52488);
    }

    /** A heartbeat that was delayed arrives at another registry after later ones at the owner. */
    @Test
    public void lateHeartbeatElsewhereDoesNotChangeTheOwner() {
        RegistryPeer[] registries = registries();
        registries[0].directory.onHeartbeat(heartbeat("a", 5), SECOND);
        pullAll(registries, SECOND);
        registries[1].directory.onHeartbeat(heartbeat("a", 4), SECOND);
        assertEquals(owner(registries[1]), 1);
        registries[0].directory.onHeartbeat(heartbeat("a", 100), 2 * SECOND);
        registries[1].directory.onHeartbeat(heartbeat("a", 99), 2 * SECOND);
        assertEquals(owner(registries[1]), 2); // it has not seen the later heartbeat yet
        pullAll(registries, 2 * SECOND);
        for (RegistryPeer registry : registries) {
            assertEquals(owner(registry), 1);
        }
    }

    /** While it sends heartbeats its owner has no change to report, and no registry times it out. */
    @Test
    public void heartbeatsToTheOwnerAreNotReplicatedYetKeepTheInstanceAlive() {
        RegistryPeer[] registries = registries();
        registries[0].directory.onHeartbeat(heartbeat("a", 1), SECOND);
        pullAll(registries, SECOND);
        long before = registries[0].counter.last();
        for (int i = 2; i < 60; i++) {
            long now = i * SECOND;
            registries[0].directory.onHeartbeat(heartbeat("a", i), now);
            List<RegistryHeartbeat> heartbeats = registries[0].directory.nextHeartbeats(now);
            heartbeats.forEach(heartbeat -> registries[1].directory.onRegistryHeartbeat(heartbeat, now));
            // The third registry receives the first one's heartbeats from the second alone.
            registries[1]
                    .directory
                    .nextHeartbeats(now)
                    .forEach(heartbeat -> registries[2].directory.onRegistryHeartbeat(heartbeat, now));
            for (RegistryPeer registry : registries) {
                registry.directory.detectTimeouts(now, SILENCE);
                assertFalse(isUnresponsive(registry, now));
            }
        }
        assertEquals(registries[0].counter.last(), before);
    }

    @Test
    public void ownerReportsAnUnresponsiveInstance() {
        RegistryPeer[] registries = registries();
        registries[0].directory.onHeartbeat(heartbeat("a", 1), SECOND);
        pullAll(registries, SECOND);
        registries[0].directory.onHeartbeat(heartbeat("a", 9), 2 * SECOND);
        long now = 2 * SECOND + SILENCE + 1;
        registries[0]
                .directory
                .nextHeartbeats(now)
                .forEach(heartbeat -> registries[1].directory.onRegistryHeartbeat(heartbeat, now));
        registries[0].directory.detectTimeouts(now, SILENCE);
        registries[1].directory.detectTimeouts(now, SILENCE);
        assertTrue(isUnresponsive(registries[0], now) && !isUnresponsive(registries[1], now));
        pullAll(registries, now);
        assertTrue(isUnresponsive(registries[1], now) && isUnresponsive(registries[2], now));
    }

    /** Their time-out starts with the last heartbeat of the owner. */
    @Test
    public void instancesOfALostOwnerHaveTimeToMove() {
        RegistryPeer[] registries = registries();
        registries[0].directory.onHeartbeat(heartbeat("a", 1), SECOND);
        pullAll(registries, SECOND);
        long heard = 20 * SECOND;
        registries[0]
                .directory
                .nextHeartbeats(heard)
                .forEach(heartbeat -> registries[1].directory.onRegistryHeartbeat(heartbeat, heard));
        registries[1]
                .directory
                .nextHeartbeats(heard)
                .forEach(heartbeat -> registries[2].directory.onRegistryHeartbeat(heartbeat, heard));
        for (long now = heard; now <= heard + SILENCE; now += SECOND) {
            long then = now;
            // Forwarding the counter of the lost owner to each other does not keep it alive.
            registries[1]
                    .directory
                    .nextHeartbeats(now)
                    .forEach(heartbeat -> registries[2].directory.onRegistryHeartbeat(heartbeat, then));
            registries[2]
                    .directory
                    .nextHeartbeats(now)
                    .forEach(heartbeat -> registries[1].directory.onRegistryHeartbeat(heartbeat, then));
            registries[1].directory.detectTimeouts(now, SILENCE);
            assertFalse(isUnresponsive(registries[1], now), (now - heard) / SECOND + " s after its owner was heard of");
        }
        registries[1].directory.detectTimeouts(heard + SILENCE + 1, SILENCE);
        registries[2].directory.detectTimeouts(heard + SILENCE + 1, SILENCE);
        assertTrue(isUnresponsive(registries[1], heard) && isUnresponsive(registries[2], heard));
        registries[1].directory.onHeartbeat(heartbeat("a", 50), heard + SILENCE + SECOND);
        registries[2].pull(1, registries[1], heard + SILENCE + SECOND);
        assertTrue(!isUnresponsive(registries[2], heard) && owner(registries[2]) == 2);
    }

    /** A registry that the owner's heartbeats did not reach times the instance out; the owner reports it again. */
    @Test
    public void ownerRefutesAFalseTimeout() {
        int orderings = ScheduleExplorer.exploreAll(10_000, orders -> {
            RegistryPeer[] registries = registries();
            registries[0].directory.onHeartbeat(heartbeat("a", 1), SECOND);
            pullAll(registries, SECOND);
            long now = 30 * SECOND;
            registries[0].directory.onHeartbeat(heartbeat("a", 20), now);
            registries[1].directory.detectTimeouts(now, SILENCE);
            assertTrue(isUnresponsive(registries[1], now));
            for (int i = 0; i < 4; i++) {
                int to = orders.choose(3);
                int from = (to + 1 + orders.choose(2)) % 3;
                registries[to].pull(from, registries[from], now);
            }
            pullAll(registries, now);
            for (RegistryPeer registry : registries) {
                assertFalse(isUnresponsive(registry, now));
            }
        });
        assertEquals(orderings, 1296);
    }

    /** The owner of the previous holder ends it, as it has missed its heartbeats. */
    @Test
    public void addressTakenOverAtAnotherRegistryEndsThePreviousHolder() {
        RegistryPeer[] registries = registries();
        registries[0].directory.onHeartbeat(heartbeat("a", 8), SECOND);
        pullAll(registries, SECOND);
        registries[1].directory.onHeartbeat(heartbeat("b", 1), 2 * SECOND);
        pullAll(registries, 2 * SECOND);
        registries[0].directory.detectTimeouts(5 * SECOND, SILENCE);
        assertEquals(registries[0].directory.get("a", SECOND).phase(), InstanceIncarnation.READY);
        registries[0].directory.detectTimeouts(5 * SECOND + 1, SILENCE);
        pullAll(registries, 6 * SECOND);
        for (RegistryPeer registry : registries) {
            assertEquals(registry.directory.get("a", SECOND).phase(), InstanceIncarnation.GONE);
            assertEquals(registry.directory.get("b", SECOND).phase(), InstanceIncarnation.READY);
        }
    }
}
