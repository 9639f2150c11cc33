package reedmux.core;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;

/**
 * The turns of the program: each reads the clock once, takes in what others have posted and what is due, and
 * then waits. The thread that runs it owns the reducer.
 */
public final class Loop {

    /** Where the loop waits, and a source of events itself. */
    public interface Waiter {

        /** Waits until woken, until something has come in or for so many microseconds. */
        void await(long micros);

        /** Ends a wait, from any thread. */
        void wake();

        /** Hands over what has come in. */
        void drain(Consumer<Event> sink);
    }

    /** No further turn. */
    public static final long END = Long.MIN_VALUE;

    private final Queue<Event> posted = new ConcurrentLinkedQueue<>();
    private final Clock clock;
    private final Waiter waiter;
    private volatile boolean waiting;

    public Loop(Clock clock, Waiter waiter) {
        this.clock = clock;
        this.waiter = waiter;
    }

    /** Adds an event, from any thread. */
    public void post(Event event) {
        posted.add(event);
        if (waiting) {
            waiting = false;
            waiter.wake();
        }
    }

    /** What is to be seen to after a turn. */
    public interface AfterTurn {

        /** Returns when it wants to be called again at the latest, or {@link #END}. */
        long at(long now);
    }

    /** Runs turns until {@code afterTurn} ends them. */
    public void run(Reducer reducer, AfterTurn afterTurn) {
        while (true) {
            long now = clock.now();
            for (Event event = posted.poll(); event != null; event = posted.poll()) {
                reducer.reduce(now, event);
            }
            waiter.drain(event -> reducer.reduce(now, event));
            reducer.reduceDue(now);
            long next = afterTurn.at(now);
            if (next == END) {
                return;
            }
            waiting = true;
            long wait = Math.min(next, reducer.nextDue()) - now;
            if (posted.isEmpty() && wait > 0) {
                waiter.await(wait);
            }
            waiting = false;
        }
    }

    /** Ends a wait early, from any thread. */
    public void wake() {
        waiter.wake();
    }
}
