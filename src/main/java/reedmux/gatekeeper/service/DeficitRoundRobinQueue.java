package reedmux.gatekeeper.service;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Several queues, served by deficit round robin (Shreedhar and Varghese, 1995): in its turn each queue may spend its
 * quantum, and the rest is carried over while it has work. A flood of one queue makes only that one long; any other
 * waits for at most one quantum of each. All queues are bounded.
 *
 * <p>Round robin by items would favour queues with expensive items; fair queueing by virtual time has tighter bounds,
 * but costs a logarithm of the queues for each item. With costs that differ by a factor of ten, and dozens of queues,
 * the constant cost was preferred.
 *
 * @param <E> an item of work
 */
public final class DeficitRoundRobinQueue<E> {
    /** An item and the queue that it comes from. */
    public record ScheduledItem<E>(int queue, E item) {}

    private record QueuedItem<E>(E item, long cost) {}

    /** One queue; what it has not spent of its quanta is its deficit counter. */
    private static final class WeightedQueue<E> {
        final Deque<QueuedItem<E>> items = new ArrayDeque<>();
        long quantum;
        int maxItems;
        long deficit;
        boolean active;

        WeightedQueue(long quantum, int maxItems) {
            this.quantum = quantum;
            this.maxItems = maxItems;
        }
    }

    private final List<WeightedQueue<E>> queues = new ArrayList<>();
    /** The queues that have work, the one whose turn it is first. */
    private final Deque<Integer> activeQueues = new ArrayDeque<>();

    private int size;

    /**
     * Adds a queue.
     *
     * @param quantum  what it may spend in its turn, in the unit of the costs; {@link #poll} takes constant time if it
     *                 is no less than the highest cost of an item
     * @param maxItems items that it may hold
     * @return the queue's number
     */
    public int addQueue(long quantum, int maxItems) {
        checkPositive(quantum, maxItems);
        queues.add(new WeightedQueue<>(quantum, maxItems));
        return queues.size() - 1;
    }

    /** Changes a queue's quantum and capacity. */
    public void configure(int queue, long quantum, int maxItems) {
        checkPositive(quantum, maxItems);
        queues.get(queue).quantum = quantum;
        queues.get(queue).maxItems = maxItems;
    }

    private static void checkPositive(long quantum, int maxItems) {
        if (quantum <= 0 || maxItems <= 0) {
            throw new IllegalArgumentException("a queue needs a quantum and a capacity: " + quantum + ", " + maxItems);
        }
    }

    /** Adds an item with a positive cost; returns false if the queue is full. */
    public boolean offer(int queue, E item, long cost) {
        if (cost <= 0) {
            throw new IllegalArgumentException("an item needs a positive cost: " + cost);
        }
        if (queues.get(queue).items.size() >= queues.get(queue).maxItems) {
            return false;
        }
        offerUnbounded(queue, item, cost);
        return true;
    }

    /** Adds an item that must not be rejected, even if the queue is full. */
    public void offerUnbounded(int queue, E item, long cost) {
        WeightedQueue<E> target = queues.get(queue);
        target.items.add(new QueuedItem<>(item, cost));
        size++;
        if (!target.active) {
            target.active = true;
            target.deficit = 0; // an idle queue saves nothing
            activeQueues.add(queue);
        }
    }

    /** The next item, or null if there is none. */
    public ScheduledItem<E> poll() {
        while (!activeQueues.isEmpty()) {
            int number = activeQueues.peek();
            WeightedQueue<E> queue = queues.get(number);
            QueuedItem<E> next = queue.items.peek();
            if (queue.deficit < next.cost) {
                queue.deficit += queue.quantum;
                if (queue.deficit < next.cost) {
                    activeQueues.add(activeQueues.poll());
                    continue;
                }
            }
            queue.items.poll();
            queue.deficit -= next.cost;
            size--;
            if (queue.items.isEmpty()) {
                queue.active = false;
                activeQueues.poll();
            } else if (queue.deficit < queue.items.peek().cost) {
                activeQueues.add(activeQueues.poll()); // its turn has ended
            }
            return new ScheduledItem<>(number, next.item);
        }
        return null;
    }

    /** How many queues there are. */
    public int queueCount() {
        return queues.size();
    }

    /** Items of one queue. */
    public int sizeOf(int queue) {
        return queues.get(queue).items.size();
    }

    /** Items of all queues. */
    public int size() {
        return size;
    }
}
