package reedmux.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import reedmux.item.Orders;

/** Who hears a checker tells of it only when something changes; others go by whether that one lives. */
public class OwnersTest {
    private static final long SECOND = 1_000_000;
    private static final long SILENCE = 6 * SECOND;

    /** A registry with its links' state. */
    private static final class Node {
        private final Counter counter = new Counter();
        private final Fleet fleet;
        private final long[] known = new long[3];

        private Node(int self) {
            fleet = new Fleet(self + 1, counter);
        }

        private void pull(int from, Node other, long now) {
            long upTo = other.counter.last();
            other.fleet.since(known[from], now).forEach(told -> fleet.merge(told, now));
            other.fleet.ownedSince(known[from]).forEach(told -> fleet.owned(told, now));
            known[from] = upTo;
        }
    }

    private static Node[] nodes() {
        return new Node[] {new Node(0), new Node(1), new Node(2)};
    }

    private static Incarnation call(String id, long seq) {
        return new Incarnation(id, "desk", "10.0.0.1:80", "here", 3, Incarnation.READY, seq, 0, false);
    }

    private static boolean silent(Node node, long now) {
        return node.fleet.get("a", now).silent();
    }

    private static long owner(Node node) {
        return node.fleet.ownedSince(0).get(0).process();
    }

    private static void pullAll(Node[] nodes, long now) {
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
    public void allAgreeOnTheOwnerInAllOrders() {
        int plays = Orders.all(100_000, orders -> {
            Node[] nodes = nodes();
            List<Long> left = new ArrayList<>(List.of(1L, 2L, 3L, 4L));
            long best = 0;
            while (!left.isEmpty()) {
                long seq = left.remove(orders.pick(Math.min(2, left.size())));
                int at = orders.pick(3);
                nodes[at].fleet.called(call("a", seq), SECOND);
                best = seq == 4 ? at + 1 : best;
                int to = orders.pick(3);
                nodes[to].pull((to + 1) % 3, nodes[(to + 1) % 3], SECOND);
            }
            pullAll(nodes, SECOND);
            for (Node node : nodes) {
                assertEquals(owner(node), best);
                assertFalse(silent(node, SECOND));
            }
        });
        assertEquals(plays, 52488);
    }

    /** A call that was long on its way comes to another registry: it moves nobody in the end. */
    @Test
    public void aLateCallElsewhereMovesNobody() {
        Node[] nodes = nodes();
        nodes[0].fleet.called(call("a", 5), SECOND);
        pullAll(nodes, SECOND);
        nodes[1].fleet.called(call("a", 4), SECOND);
        assertEquals(owner(nodes[1]), 1);
        nodes[0].fleet.called(call("a", 100), 2 * SECOND);
        nodes[1].fleet.called(call("a", 99), 2 * SECOND);
        assertEquals(owner(nodes[1]), 2); // it knows of no higher one yet
        pullAll(nodes, 2 * SECOND);
        for (Node node : nodes) {
            assertEquals(owner(node), 1);
        }
    }

    /** Nothing is told while it goes on calling, and nobody takes it for silent. */
    @Test
    public void whoCallsItsOwnerIsToldOfOnceAndSilentNowhere() {
        Node[] nodes = nodes();
        nodes[0].fleet.called(call("a", 1), SECOND);
        pullAll(nodes, SECOND);
        long before = nodes[0].counter.last();
        for (int i = 2; i < 60; i++) {
            long now = i * SECOND;
            nodes[0].fleet.called(call("a", i), now);
            List<Fleet.Contact> counts = nodes[0].fleet.contacts(now);
            counts.forEach(contact -> nodes[1].fleet.contact(contact, now));
            // The third hears of the first by the second alone.
            nodes[1].fleet.contacts(now).forEach(contact -> nodes[2].fleet.contact(contact, now));
            for (Node node : nodes) {
                node.fleet.sweep(now, SILENCE);
                assertFalse(silent(node, now));
            }
        }
        assertEquals(nodes[0].counter.last(), before);
    }

    @Test
    public void itsOwnerSaysWhenItIsSilent() {
        Node[] nodes = nodes();
        nodes[0].fleet.called(call("a", 1), SECOND);
        pullAll(nodes, SECOND);
        nodes[0].fleet.called(call("a", 9), 2 * SECOND);
        long now = 2 * SECOND + SILENCE + 1;
        nodes[0].fleet.contacts(now).forEach(contact -> nodes[1].fleet.contact(contact, now));
        nodes[0].fleet.sweep(now, SILENCE);
        nodes[1].fleet.sweep(now, SILENCE);
        assertTrue(silent(nodes[0], now) && !silent(nodes[1], now));
        pullAll(nodes, now);
        assertTrue(silent(nodes[1], now) && silent(nodes[2], now));
    }

    /** A lost owner's checkers are silent only once they have had the time to call another one. */
    @Test
    public void aLostOwnersCheckersHaveTheirTime() {
        Node[] nodes = nodes();
        nodes[0].fleet.called(call("a", 1), SECOND);
        pullAll(nodes, SECOND);
        long heard = 20 * SECOND;
        nodes[0].fleet.contacts(heard).forEach(contact -> nodes[1].fleet.contact(contact, heard));
        nodes[1].fleet.contacts(heard).forEach(contact -> nodes[2].fleet.contact(contact, heard));
        for (long now = heard; now <= heard + SILENCE; now += SECOND) {
            long then = now;
            // Two that tell each other what they heard of a third keep it alive for nobody.
            nodes[1].fleet.contacts(now).forEach(contact -> nodes[2].fleet.contact(contact, then));
            nodes[2].fleet.contacts(now).forEach(contact -> nodes[1].fleet.contact(contact, then));
            nodes[1].fleet.sweep(now, SILENCE);
            assertFalse(silent(nodes[1], now), (now - heard) / SECOND + " s after its owner was heard of");
        }
        nodes[1].fleet.sweep(heard + SILENCE + 1, SILENCE);
        nodes[2].fleet.sweep(heard + SILENCE + 1, SILENCE);
        assertTrue(silent(nodes[1], heard) && silent(nodes[2], heard));
        nodes[1].fleet.called(call("a", 50), heard + SILENCE + SECOND);
        nodes[2].pull(1, nodes[1], heard + SILENCE + SECOND);
        assertTrue(!silent(nodes[2], heard) && owner(nodes[2]) == 2);
    }

    /** Who could not hear the owner says silent of a checker; the owner knows better, and all believe it. */
    @Test
    public void theOwnerRefutesWhoCouldNotHearIt() {
        int plays = Orders.all(10_000, orders -> {
            Node[] nodes = nodes();
            nodes[0].fleet.called(call("a", 1), SECOND);
            pullAll(nodes, SECOND);
            long now = 30 * SECOND;
            nodes[0].fleet.called(call("a", 20), now);
            nodes[1].fleet.sweep(now, SILENCE);
            assertTrue(silent(nodes[1], now));
            for (int i = 0; i < 4; i++) {
                int to = orders.pick(3);
                int from = (to + 1 + orders.pick(2)) % 3;
                nodes[to].pull(from, nodes[from], now);
            }
            pullAll(nodes, now);
            for (Node node : nodes) {
                assertFalse(silent(node, now));
            }
        });
        assertEquals(plays, 1296);
    }

    /** Its address has gone to another that calls elsewhere: its owner sees that it no longer calls. */
    @Test
    public void anAddressThatHasANewHolderElsewhere() {
        Node[] nodes = nodes();
        nodes[0].fleet.called(call("a", 8), SECOND);
        pullAll(nodes, SECOND);
        nodes[1].fleet.called(call("b", 1), 2 * SECOND);
        pullAll(nodes, 2 * SECOND);
        nodes[0].fleet.sweep(5 * SECOND, SILENCE);
        assertEquals(nodes[0].fleet.get("a", SECOND).phase(), Incarnation.READY);
        nodes[0].fleet.sweep(5 * SECOND + 1, SILENCE);
        pullAll(nodes, 6 * SECOND);
        for (Node node : nodes) {
            assertEquals(node.fleet.get("a", SECOND).phase(), Incarnation.GONE);
            assertEquals(node.fleet.get("b", SECOND).phase(), Incarnation.READY);
        }
    }
}
