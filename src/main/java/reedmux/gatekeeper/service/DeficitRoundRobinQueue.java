package reedmux.gatekeeper.service;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * A set of bounded queues scheduled by deficit round robin (Shreedhar and Varghese, 1995). In its turn, each queue may
 * dequeue items up to its quantum; the unused remainder is carried over while the queue has items. If one queue is
 * flooded, only that queue grows long: every other queue waits for at most one quantum of each queue.
 *
 * <p>Plain round robin by item would favour queues with expensive items. Fair queueing by virtual time has tighter
 * bounds, but its cost per item is logarithmic in the number of queues. With costs that differ by a factor of ten and
 * with dozens of queues, the constant cost per item is preferable.
 *
 * @param <E> type of the items
 */
public final class DeficitRoundRobinQueue<E> {
    /** An item and the index of the queue it was taken from. */
    public record ScheduledItem<E>(int queue, E item) {}

    private record QueuedItem<E>(E item, long cost) {}

    /** One queue. Its deficit counter is the part of its quanta that it has not used. */
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
    /** Indices of the queues that have items; the queue whose turn it is comes first. */
    private final Deque<Integer> activeQueues = new ArrayDeque<>();

    private int size;

    /**
     * Adds a queue.
     *
     * @param quantum  cost that it may dequeue in its turn, in the unit of the item costs; {@link #poll} takes constant
     *                 time if the quantum is at least the highest cost of an item
     * @param maxItems maximum number of items
     * @return the index of the queue
     */
    public int addQueue(long quantum, int maxItems) {
        checkPositive(quantum, maxItems);
        queues.add(new WeightedQueue<>(quantum, maxItems));
        return queues.size() - 1;
    }

    /** Changes the quantum and the capacity of a queue. */
    public void configure(int queue, long quantum, int maxItems) {
        checkPositive(quantum, maxItems);
        queues.get(queue).quantum = quantum;
        queues.get(queue).maxItems = maxItems;
    }

    private static void checkPositive(long quantum, int maxItems) {
        if (quantum <= 0 || maxItems <= 0) {
            throw new IllegalArgumentException("quantum and capacity must be positive: " + quantum + ", " + maxItems);
        }
    }

    /** Adds an item with a positive cost. Returns false if the queue is full. */
    public boolean offer(int queue, E item, long cost) {
        if (cost <= 0) {
            throw new IllegalArgumentException("cost must be positive: " + cost);
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
            target.deficit = 0; // an idle queue does not accumulate deficit
            activeQueues.add(queue);
        }
    }

    /** Removes and returns the next item, or returns null if all queues are empty. */
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
                activeQueues.add(activeQueues.poll()); // the remaining deficit is too small, which ends the turn
            }
            return new ScheduledItem<>(number, next.item);
        }
        return null;
    }

    /** Returns the number of queues. */
    public int queueCount() {
        return queues.size();
    }

    /** Returns the number of items in one queue. */
    public int sizeOf(int queue) {
        return queues.get(queue).items.size();
    }

    /** Returns the number of items in all queues. */
    public int size() {
        return size;
    }
}
