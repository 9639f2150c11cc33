package reedmux.pool;

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
public final class FairQueues<E> {
    /** A piece of work and the pool that it is for. */
    public record Turn<E>(int pool, E work) {}

    private record Piece<E>(E work, long cost) {}

    /** One pool's queue. */
    private static final class Queue<E> {
        final Deque<Piece<E>> pieces = new ArrayDeque<>();
        long quantum;
        int most;
        long deficit;
        boolean active;

        Queue(long quantum, int most) {
            this.quantum = quantum;
            this.most = most;
        }
    }

    private final List<Queue<E>> queues = new ArrayList<>();
    /** Pools that have work, the one whose turn it is in front. */
    private final Deque<Integer> round = new ArrayDeque<>();

    private int size;

    /**
     * Adds a pool.
     *
     * @param quantum what it may spend in its turn, in the unit of the costs; at least the dearest piece
     *                makes for a constant cost of {@link #next}
     * @param most    pieces that may wait
     * @return the pool's number
     */
    public int add(long quantum, int most) {
        if (quantum <= 0 || most <= 0) {
            throw new IllegalArgumentException("a pool needs a quantum and room: " + quantum + ", " + most);
        }
        queues.add(new Queue<>(quantum, most));
        return queues.size() - 1;
    }

    /** Sets a pool's quantum and room anew. */
    public void set(int pool, long quantum, int most) {
        if (quantum <= 0 || most <= 0) {
            throw new IllegalArgumentException("a pool needs a quantum and room: " + quantum + ", " + most);
        }
        queues.get(pool).quantum = quantum;
        queues.get(pool).most = most;
    }

    /** Adds work, of a cost above nought; false where the pool's queue is full. */
    public boolean offer(int pool, E work, long cost) {
        if (cost <= 0) {
            throw new IllegalArgumentException("work has a cost above nought: " + cost);
        }
        if (queues.get(pool).pieces.size() >= queues.get(pool).most) {
            return false;
        }
        push(pool, work, cost);
        return true;
    }

    /** Adds work that may not be turned away, such as the end of what was let in. */
    public void push(int pool, E work, long cost) {
        Queue<E> queue = queues.get(pool);
        queue.pieces.add(new Piece<>(work, cost));
        size++;
        if (!queue.active) {
            queue.active = true;
            queue.deficit = 0; // one that had nothing to do has saved up nothing
            round.add(pool);
        }
    }

    /** The next piece of work, or null where there is none. */
    public Turn<E> next() {
        while (!round.isEmpty()) {
            int pool = round.peek();
            Queue<E> queue = queues.get(pool);
            Piece<E> piece = queue.pieces.peek();
            if (queue.deficit < piece.cost) {
                queue.deficit += queue.quantum;
                if (queue.deficit < piece.cost) {
                    round.add(round.poll());
                    continue;
                }
            }
            queue.pieces.poll();
            queue.deficit -= piece.cost;
            size--;
            if (queue.pieces.isEmpty()) {
                queue.active = false;
                round.poll();
            } else if (queue.deficit < queue.pieces.peek().cost) {
                round.add(round.poll()); // its turn is over
            }
            return new Turn<>(pool, piece.work);
        }
        return null;
    }

    /** Pools that have been added. */
    public int pools() {
        return queues.size();
    }

    /** Pieces that wait for a pool. */
    public int waiting(int pool) {
        return queues.get(pool).pieces.size();
    }

    /** Pieces that wait in all. */
    public int size() {
        return size;
    }
}
