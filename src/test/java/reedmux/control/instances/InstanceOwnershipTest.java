package reedmux.control.instances;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import reedmux.control.changes.ChangeCounter;
import reedmux.testing.ScheduleExplorer;

/** Who hears a checker tells of it only when something changes; others go by whether that one lives. */
public class InstanceOwnershipTest {
    private static final long SECOND = 1_000_000;
    private static final long SILENCE = 6 * SECOND;

    /** A registry with its links' state. */
    private static final class RegistryPeer {
        private final ChangeCounter counter = new ChangeCounter();
        private final InstanceDirectory directory;
        private final long[] seenChanges = new long[3];

        private RegistryPeer(int self) {
            directory = new InstanceDirectory(self + 1, counter);
        }

        private void pull(int from, RegistryPeer other, long now) {
            long upTo = other.counter.last();
            other.directory.changedSince(seenChanges[from], now).forEach(told -> directory.merge(told, now));
            other.directory.ownersChangedSince(seenChanges[from]).forEach(told -> directory.mergeOwner(told, now));
            seenChanges[from] = upTo;
        }
    }

    private static RegistryPeer[] nodes() {
        return new RegistryPeer[] {new RegistryPeer(0), new RegistryPeer(1), new RegistryPeer(2)};
    }

    private static CheckerIncarnation heartbeat(String id, long seq) {
        return new CheckerIncarnation(id, "desk", "10.0.0.1:80", "here", 3, CheckerIncarnation.READY, seq, 0, false);
    }

    private static boolean isUnresponsive(RegistryPeer node, long now) {
        return node.directory.get("a", now).unresponsive();
    }

    private static long owner(RegistryPeer node) {
        return node.directory.ownersChangedSince(0).get(0).processId();
    }

    private static void pullAll(RegistryPeer[] nodes, long now) {
        for (int round = 0; round < 4; round++) {
            for (int to = 0; to < 3; to++) {
                for (int from = 0; from < 3; from++) {
                    if (to != from) {
                        nodes[to].pull(from, nodes[from], now);
                    }
                }
            }
        }
    }

    /** Four calls, each at any registry and in any order, with pulls between: all agree at the end. */
    @Test
    public void registriesAgreeOnTheOwnerInAllOrders() {
        int plays = ScheduleExplorer.exploreAll(100_000, orders -> {
            RegistryPeer[] nodes = nodes();
            List<Long> left = new ArrayList<>(List.of(1L, 2L, 3L, 4L));
            long best = 0;
            while (!left.isEmpty()) {
                long seq = left.remove(orders.choose(Math.min(2, left.size())));
                int at = orders.choose(3);
                nodes[at].directory.onHeartbeat(heartbeat("a", seq), SECOND);
                best = seq == 4 ? at + 1 : best;
                int to = orders.choose(3);
                nodes[to].pull((to + 1) % 3, nodes[(to + 1) % 3], SECOND);
            }
            pullAll(nodes, SECOND);
            for (RegistryPeer node : nodes) {
                assertEquals(owner(node), best);
                assertFalse(isUnresponsive(node, SECOND));
            }
        });
        assertEquals(plays, 52488);
    }

    /** A call that was long on its way comes to another registry: it moves nobody in the end. */
    @Test
    public void lateHeartbeatElsewhereDoesNotChangeTheOwner() {
        RegistryPeer[] nodes = nodes();
        nodes[0].directory.onHeartbeat(heartbeat("a", 5), SECOND);
        pullAll(nodes, SECOND);
        nodes[1].directory.onHeartbeat(heartbeat("a", 4), SECOND);
        assertEquals(owner(nodes[1]), 1);
        nodes[0].directory.onHeartbeat(heartbeat("a", 100), 2 * SECOND);
        nodes[1].directory.onHeartbeat(heartbeat("a", 99), 2 * SECOND);
        assertEquals(owner(nodes[1]), 2); // it knows of no higher one yet
        pullAll(nodes, 2 * SECOND);
        for (RegistryPeer node : nodes) {
            assertEquals(owner(node), 1);
        }
    }

    /** Nothing is told while it goes on calling, and nobody takes it for silent. */
    @Test
    public void heartbeatsToTheOwnerAreNotReplicatedYetKeepTheInstanceAlive() {
        RegistryPeer[] nodes = nodes();
        nodes[0].directory.onHeartbeat(heartbeat("a", 1), SECOND);
        pullAll(nodes, SECOND);
        long before = nodes[0].counter.last();
        for (int i = 2; i < 60; i++) {
            long now = i * SECOND;
            nodes[0].directory.onHeartbeat(heartbeat("a", i), now);
            List<InstanceDirectory.RegistryHeartbeat> counts = nodes[0].directory.nextHeartbeats(now);
            counts.forEach(contact -> nodes[1].directory.onRegistryHeartbeat(contact, now));
            // The third hears of the first by the second alone.
            nodes[1].directory
                    .nextHeartbeats(now)
                    .forEach(contact -> nodes[2].directory.onRegistryHeartbeat(contact, now));
            for (RegistryPeer node : nodes) {
                node.directory.detectTimeouts(now, SILENCE);
                assertFalse(isUnresponsive(node, now));
            }
        }
        assertEquals(nodes[0].counter.last(), before);
    }

    @Test
    public void ownerReportsAnUnresponsiveInstance() {
        RegistryPeer[] nodes = nodes();
        nodes[0].directory.onHeartbeat(heartbeat("a", 1), SECOND);
        pullAll(nodes, SECOND);
        nodes[0].directory.onHeartbeat(heartbeat("a", 9), 2 * SECOND);
        long now = 2 * SECOND + SILENCE + 1;
        nodes[0].directory.nextHeartbeats(now).forEach(contact -> nodes[1].directory.onRegistryHeartbeat(contact, now));
        nodes[0].directory.detectTimeouts(now, SILENCE);
        nodes[1].directory.detectTimeouts(now, SILENCE);
        assertTrue(isUnresponsive(nodes[0], now) && !isUnresponsive(nodes[1], now));
        pullAll(nodes, now);
        assertTrue(isUnresponsive(nodes[1], now) && isUnresponsive(nodes[2], now));
    }

    /** A lost owner's checkers are silent only once they have had the time to call another one. */
    @Test
    public void instancesOfALostOwnerHaveTimeToMove() {
        RegistryPeer[] nodes = nodes();
        nodes[0].directory.onHeartbeat(heartbeat("a", 1), SECOND);
        pullAll(nodes, SECOND);
        long heard = 20 * SECOND;
        nodes[0].directory
                .nextHeartbeats(heard)
                .forEach(contact -> nodes[1].directory.onRegistryHeartbeat(contact, heard));
        nodes[1].directory
                .nextHeartbeats(heard)
                .forEach(contact -> nodes[2].directory.onRegistryHeartbeat(contact, heard));
        for (long now = heard; now <= heard + SILENCE; now += SECOND) {
            long then = now;
            // Two that tell each other what they heard of a third keep it alive for nobody.
            nodes[1].directory
                    .nextHeartbeats(now)
                    .forEach(contact -> nodes[2].directory.onRegistryHeartbeat(contact, then));
            nodes[2].directory
                    .nextHeartbeats(now)
                    .forEach(contact -> nodes[1].directory.onRegistryHeartbeat(contact, then));
            nodes[1].directory.detectTimeouts(now, SILENCE);
            assertFalse(isUnresponsive(nodes[1], now), (now - heard) / SECOND + " s after its owner was heard of");
        }
        nodes[1].directory.detectTimeouts(heard + SILENCE + 1, SILENCE);
        nodes[2].directory.detectTimeouts(heard + SILENCE + 1, SILENCE);
        assertTrue(isUnresponsive(nodes[1], heard) && isUnresponsive(nodes[2], heard));
        nodes[1].directory.onHeartbeat(heartbeat("a", 50), heard + SILENCE + SECOND);
        nodes[2].pull(1, nodes[1], heard + SILENCE + SECOND);
        assertTrue(!isUnresponsive(nodes[2], heard) && owner(nodes[2]) == 2);
    }

    /** Who could not hear the owner says silent of a checker; the owner knows better, and all believe it. */
    @Test
    public void ownerRefutesAFalseTimeout() {
        int plays = ScheduleExplorer.exploreAll(10_000, orders -> {
            RegistryPeer[] nodes = nodes();
            nodes[0].directory.onHeartbeat(heartbeat("a", 1), SECOND);
            pullAll(nodes, SECOND);
            long now = 30 * SECOND;
            nodes[0].directory.onHeartbeat(heartbeat("a", 20), now);
            nodes[1].directory.detectTimeouts(now, SILENCE);
            assertTrue(isUnresponsive(nodes[1], now));
            for (int i = 0; i < 4; i++) {
                int to = orders.choose(3);
                int from = (to + 1 + orders.choose(2)) % 3;
                nodes[to].pull(from, nodes[from], now);
            }
            pullAll(nodes, now);
            for (RegistryPeer node : nodes) {
                assertFalse(isUnresponsive(node, now));
            }
        });
        assertEquals(plays, 1296);
    }

    /** Its address has gone to another that calls elsewhere: its owner sees that it no longer calls. */
    @Test
    public void addressTakenOverAtAnotherRegistryEndsThePreviousHolder() {
        RegistryPeer[] nodes = nodes();
        nodes[0].directory.onHeartbeat(heartbeat("a", 8), SECOND);
        pullAll(nodes, SECOND);
        nodes[1].directory.onHeartbeat(heartbeat("b", 1), 2 * SECOND);
        pullAll(nodes, 2 * SECOND);
        nodes[0].directory.detectTimeouts(5 * SECOND, SILENCE);
        assertEquals(nodes[0].directory.get("a", SECOND).phase(), CheckerIncarnation.READY);
        nodes[0].directory.detectTimeouts(5 * SECOND + 1, SILENCE);
        pullAll(nodes, 6 * SECOND);
        for (RegistryPeer node : nodes) {
            assertEquals(node.directory.get("a", SECOND).phase(), CheckerIncarnation.GONE);
            assertEquals(node.directory.get("b", SECOND).phase(), CheckerIncarnation.READY);
        }
    }
}
