package reedmux.gatekeeper.service;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Queues of work, one a pool, taken from by deficit round robin (Shreedhar and Varghese, 1995): each pool in
 * turn may spend a quantum by its weight, and what one piece of work leaves or lacks is carried over while
 * the pool has work. A flood to one pool makes its own queue long; another pool waits for at most one
 * quantum of each, however much is queued. Each queue is bounded, so that a flood costs bounded memory.
 *
 * <p>Round robin by pieces would let a pool of dear pieces take more; fair queueing by virtual time gives
 * tighter bounds for a logarithm of the pools at each piece. With costs that differ by a factor of ten and
 * pools by the dozen the constant cost was preferred.
 *
 * @param <E> a piece of work
 */
public final class DeficitRoundRobinQueue<E> {
    /** A piece of work and the pool that it is for. */
    public record ScheduledWork<E>(int queue, E work) {}

    private record QueuedWork<E>(E work, long cost) {}

    /** One pool's queue. */
    private static final class WeightedQueue<E> {
        final Deque<QueuedWork<E>> items = new ArrayDeque<>();
        long quantum;
        int maxItems;
        long deficit;
        boolean active;

        WeightedQueue(long quantum, int most) {
            this.quantum = quantum;
            this.maxItems = most;
        }
    }

    private final List<WeightedQueue<E>> queues = new ArrayList<>();
    /** Pools that have work, the one whose turn it is in front. */
    private final Deque<Integer> activeQueues = new ArrayDeque<>();

    private int size;

    /**
     * Adds a pool.
     *
     * @param quantum what it may spend in its turn, in the unit of the costs; at least the dearest piece
     *                makes for a constant cost of {@link #poll}
     * @param most    pieces that may wait
     * @return the pool's number
     */
    public int addQueue(long quantum, int most) {
        if (quantum <= 0 || most <= 0) {
            throw new IllegalArgumentException("a pool needs a quantum and room: " + quantum + ", " + most);
        }
        queues.add(new WeightedQueue<>(quantum, most));
        return queues.size() - 1;
    }

    /** Sets a pool's quantum and room anew. */
    public void configure(int pool, long quantum, int most) {
        if (quantum <= 0 || most <= 0) {
            throw new IllegalArgumentException("a pool needs a quantum and room: " + quantum + ", " + most);
        }
        queues.get(pool).quantum = quantum;
        queues.get(pool).maxItems = most;
    }

    /** Adds work, of a cost above nought; false where the pool's queue is full. */
    public boolean offer(int pool, E work, long cost) {
        if (cost <= 0) {
            throw new IllegalArgumentException("work has a cost above nought: " + cost);
        }
        if (queues.get(pool).items.size() >= queues.get(pool).maxItems) {
            return false;
        }
        offerUnbounded(pool, work, cost);
        return true;
    }

    /** Adds work that may not be turned away, such as the end of what was let in. */
    public void offerUnbounded(int pool, E work, long cost) {
        WeightedQueue<E> queue = queues.get(pool);
        queue.items.add(new QueuedWork<>(work, cost));
        size++;
        if (!queue.active) {
            queue.active = true;
            queue.deficit = 0; // one that had nothing to do has saved up nothing
            activeQueues.add(pool);
        }
    }

    /** The next piece of work, or null where there is none. */
    public ScheduledWork<E> poll() {
        while (!activeQueues.isEmpty()) {
            int pool = activeQueues.peek();
            WeightedQueue<E> queue = queues.get(pool);
            QueuedWork<E> piece = queue.items.peek();
            if (queue.deficit < piece.cost) {
                queue.deficit += queue.quantum;
                if (queue.deficit < piece.cost) {
                    activeQueues.add(activeQueues.poll());
                    continue;
                }
            }
            queue.items.poll();
            queue.deficit -= piece.cost;
            size--;
            if (queue.items.isEmpty()) {
                queue.active = false;
                activeQueues.poll();
            } else if (queue.deficit < queue.items.peek().cost) {
                activeQueues.add(activeQueues.poll()); // its turn is over
            }
            return new ScheduledWork<>(pool, piece.work);
        }
        return null;
    }

    /** Pools that have been added. */
    public int queueCount() {
        return queues.size();
    }

    /** Pieces that wait for a pool. */
    public int sizeOf(int pool) {
        return queues.get(pool).items.size();
    }

    /** Pieces that wait in all. */
    public int size() {
        return size;
    }
}
