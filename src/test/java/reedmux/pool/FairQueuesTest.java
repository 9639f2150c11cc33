package reedmux.pool;

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

/** Whose turn it is: order within a pool, shares between pools, and how long one waits at most. */
final class FairQueuesTest {
    private static final int DEAREST = 10;

    /** Nothing is lost, doubled or overtaken within its pool, and a full queue takes nothing more. */
    @Property(tries = 10_000, seed = "61")
    void keepsWhatItIsGivenInOrder(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        FairQueues<Integer> queues = new FairQueues<>();
        List<Deque<Integer>> expected = new ArrayList<>();
        for (int i = random.nextInt(1, 6); i > 0; i--) {
            queues.add(random.nextInt(1, 30), 5);
            expected.add(new ArrayDeque<>());
        }
        int waiting = 0;
        for (int step = 0; step < 100; step++) {
            if (random.nextInt(3) > 0) {
                int pool = random.nextInt(expected.size());
                boolean room = expected.get(pool).size() < 5;
                assertEquals(room, queues.offer(pool, step, random.nextInt(1, DEAREST + 1)));
                if (room) {
                    expected.get(pool).add(step);
                    waiting++;
                }
            } else {
                FairQueues.Turn<Integer> turn = queues.next();
                assertEquals(waiting == 0, turn == null);
                if (turn != null) {
                    assertEquals(expected.get(turn.pool()).poll(), turn.work());
                    waiting--;
                }
            }
            assertEquals(waiting, queues.size());
        }
    }

    /** While two pools have work, what each has had differs by their weights within a quantum and a piece. */
    @Property(tries = 10_000, seed = "62")
    void sharesByWeight(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        FairQueues<Long> queues = new FairQueues<>();
        int pools = random.nextInt(2, 6);
        long[] weight = new long[pools];
        for (int i = 0; i < pools; i++) {
            weight[i] = random.nextInt(1, 4);
            queues.add(weight[i] * DEAREST, 1_000);
        }
        for (int i = 0; i < pools; i++) {
            for (int k = 0; k < 400; k++) {
                long cost = random.nextInt(1, DEAREST + 1);
                queues.offer(i, cost, cost);
            }
        }
        double[] had = new double[pools];
        for (int turn = 0; turn < 150; turn++) {
            FairQueues.Turn<Long> next = queues.next();
            had[next.pool()] += next.work();
            for (int i = 0; i < pools; i++) {
                for (int j = 0; j < pools; j++) {
                    assertTrue(
                            Math.abs(had[i] / weight[i] - had[j] / weight[j]) <= 2 * DEAREST + 1e-9,
                            "rounds apart: " + had[i] / weight[i] + " and " + had[j] / weight[j]);
                }
            }
        }
    }

    /**
     * However long another pool's queue is, one waits for at most a quantum and a piece of each other
     * pool.
     */
    @Property(tries = 2_000, seed = "63")
    void aFloodDelaysNobodyElse(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        FairQueues<Long> queues = new FairQueues<>();
        int quiet = queues.add(DEAREST, 10);
        int others = random.nextInt(1, 5);
        for (int i = 1; i <= others; i++) {
            queues.add(DEAREST, 100_000);
            for (int k = random.nextInt(1, 1_000); k > 0; k--) {
                long cost = random.nextInt(1, DEAREST + 1);
                queues.offer(i, cost, cost);
            }
        }
        for (int k = random.nextInt(50); k > 0; k--) {
            queues.next();
        }
        queues.offer(quiet, 0L, DEAREST);
        long before = 0;
        for (FairQueues.Turn<Long> turn = queues.next(); turn.pool() != quiet; turn = queues.next()) {
            before += turn.work();
        }
        assertTrue(before <= 2L * DEAREST * others, before + " before it, of " + others + " others");
    }

    @Example
    void oneThatWasIdleHasSavedUpNothing() {
        FairQueues<String> queues = new FairQueues<>();
        int a = queues.add(10, 100);
        int b = queues.add(10, 100);
        for (int i = 0; i < 50; i++) {
            queues.offer(a, "a", 10);
            queues.next();
        }
        for (int i = 0; i < 4; i++) {
            queues.offer(a, "a", 10);
            queues.offer(b, "b", 10);
        }
        StringBuilder order = new StringBuilder();
        for (FairQueues.Turn<String> turn = queues.next(); turn != null; turn = queues.next()) {
            order.append(turn.work());
        }
        assertEquals("abababab", order.toString());
        assertNull(queues.next());
    }

    @Example
    void badValuesAreRefused() {
        FairQueues<String> queues = new FairQueues<>();
        assertThrows(IllegalArgumentException.class, () -> queues.add(0, 1));
        assertThrows(IllegalArgumentException.class, () -> queues.add(1, 0));
        int pool = queues.add(1, 1);
        assertThrows(IllegalArgumentException.class, () -> queues.offer(pool, "free", 0));
        assertTrue(queues.offer(pool, "x", 1_000));
        assertFalse(queues.offer(pool, "y", 1));
        assertEquals("x", queues.next().work());
    }
}
