package reedmux.gatekeeper.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Checks the order within a queue, the shares of the queues, and the maximum wait. */
final class DeficitRoundRobinQueueTest {
    private static final int MAX_COST = 10;

    /** No item is lost, duplicated or reordered within its queue, and a full queue rejects further items. */
    @Property(tries = 10_000, seed = "61")
    void keepsTheOrderWithinAQueue(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        DeficitRoundRobinQueue<Integer> queues = new DeficitRoundRobinQueue<>();
        List<Deque<Integer>> expected = new ArrayList<>();
        for (int i = random.nextInt(1, 6); i > 0; i--) {
            queues.addQueue(random.nextInt(1, 30), 5);
            expected.add(new ArrayDeque<>());
        }
        int queuedCount = 0;
        for (int step = 0; step < 100; step++) {
            if (random.nextInt(3) > 0) {
                int queue = random.nextInt(expected.size());
                boolean hasCapacity = expected.get(queue).size() < 5;
                assertEquals(hasCapacity, queues.offer(queue, step, random.nextInt(1, MAX_COST + 1)));
                if (hasCapacity) {
                    expected.get(queue).add(step);
                    queuedCount++;
                }
            } else {
                DeficitRoundRobinQueue.ScheduledItem<Integer> next = queues.poll();
                assertEquals(queuedCount == 0, next == null);
                if (next != null) {
                    assertEquals(expected.get(next.queue()).poll(), next.item());
                    queuedCount--;
                }
            }
            assertEquals(queuedCount, queues.size());
        }
    }

    /** While two queues have items, the costs served from them follow their weights within one quantum and one item. */
    @Property(tries = 10_000, seed = "62")
    void sharesByWeight(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        DeficitRoundRobinQueue<Long> queues = new DeficitRoundRobinQueue<>();
        int queueCount = random.nextInt(2, 6);
        long[] weight = new long[queueCount];
        for (int i = 0; i < queueCount; i++) {
            weight[i] = random.nextInt(1, 4);
            queues.addQueue(weight[i] * MAX_COST, 1_000);
        }
        for (int i = 0; i < queueCount; i++) {
            for (int k = 0; k < 400; k++) {
                long cost = random.nextInt(1, MAX_COST + 1);
                queues.offer(i, cost, cost);
            }
        }
        double[] servedCost = new double[queueCount];
        for (int poll = 0; poll < 150; poll++) {
            DeficitRoundRobinQueue.ScheduledItem<Long> next = queues.poll();
            servedCost[next.queue()] += next.item();
            for (int i = 0; i < queueCount; i++) {
                for (int j = 0; j < queueCount; j++) {
                    assertTrue(
                            Math.abs(servedCost[i] / weight[i] - servedCost[j] / weight[j]) <= 2 * MAX_COST + 1e-9,
                            "served cost divided by weight: " + servedCost[i] / weight[i] + " and "
                                    + servedCost[j] / weight[j]);
                }
            }
        }
    }

    /**
     * An item at the head of its queue waits for at most one quantum and one item of each other queue, however long
     * those queues are.
     */
    @Property(tries = 2_000, seed = "63")
    void floodedQueueDoesNotDelayOthers(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        DeficitRoundRobinQueue<Long> queues = new DeficitRoundRobinQueue<>();
        int idleQueue = queues.addQueue(MAX_COST, 10);
        int floodedQueues = random.nextInt(1, 5);
        for (int i = 1; i <= floodedQueues; i++) {
            queues.addQueue(MAX_COST, 100_000);
            for (int k = random.nextInt(1, 1_000); k > 0; k--) {
                long cost = random.nextInt(1, MAX_COST + 1);
                queues.offer(i, cost, cost);
            }
        }
        for (int k = random.nextInt(50); k > 0; k--) {
            queues.poll();
        }
        queues.offer(idleQueue, 0L, MAX_COST);
        long costBefore = 0;
        for (DeficitRoundRobinQueue.ScheduledItem<Long> next = queues.poll();
                next.queue() != idleQueue;
                next = queues.poll()) {
            costBefore += next.item();
        }
        assertTrue(
                costBefore <= 2L * MAX_COST * floodedQueues,
                costBefore + " cost units served before the item, by " + floodedQueues + " other queues");
    }

    @Example
    void idleQueueAccumulatesNoDeficit() {
        DeficitRoundRobinQueue<String> queues = new DeficitRoundRobinQueue<>();
        int a = queues.addQueue(10, 100);
        int b = queues.addQueue(10, 100);
        for (int i = 0; i < 50; i++) {
            queues.offer(a, "a", 10);
            queues.poll();
        }
        for (int i = 0; i < 4; i++) {
            queues.offer(a, "a", 10);
            queues.offer(b, "b", 10);
        }
        StringBuilder order = new StringBuilder();
        for (DeficitRoundRobinQueue.ScheduledItem<String> next = queues.poll(); next != null; next = queues.poll()) {
            order.append(next.item());
        }
        assertEquals("abababab", order.toString());
        assertNull(queues.poll());
    }

    @Example
    void rejectsInvalidArguments() {
        DeficitRoundRobinQueue<String> queues = new DeficitRoundRobinQueue<>();
        assertThrows(IllegalArgumentException.class, () -> queues.addQueue(0, 1));
        assertThrows(IllegalArgumentException.class, () -> queues.addQueue(1, 0));
        int queue = queues.addQueue(1, 1);
        assertThrows(IllegalArgumentException.class, () -> queues.offer(queue, "free", 0));
        assertTrue(queues.offer(queue, "x", 1_000));
        assertFalse(queues.offer(queue, "y", 1));
        assertEquals("x", queues.poll().item());
    }
}
