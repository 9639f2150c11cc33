package reedmux.core;

/**
 * The turns of the program: each reads the clock once, takes in what others have posted and what is due, and
 * then waits. The thread that runs it owns all reducers.
 */
public final class Loop {

    /** Takes in what peers have told, for the pool of that tag. */
    public interface Datagrams {
        void told(int tag, int peer, byte[] bytes);
    }

    /** What the turns do. */
    public interface Work {

        /** Takes in what has been posted, or as much of it as one turn may. */
        void takePosted(long now);

        /** Takes in what a peer has told. */
        void told(long now, int tag, int peer, byte[] bytes);

        /** Takes in what is due. */
        void takeDue(long now);

        /** Whether there is more to be taken in at once. */
        boolean waits();

        /** When something is due next; the far future if nothing is. */
        long nextDue();
    }

    /** Where the loop waits, and a source of events itself. */
    public interface Waiter {

        /** Waits until woken, until something has come in or for so many microseconds. */
        void await(long micros);

        /** Ends a wait, from any thread. */
        void wake();

        /** Hands over what has come in. */
        void drain(Datagrams sink);
    }

    /** No further turn. */
    public static final long END = Long.MIN_VALUE;

    private final Clock clock;
    private final Waiter waiter;
    private volatile boolean waiting;

    public Loop(Clock clock, Waiter waiter) {
        this.clock = clock;
        this.waiter = waiter;
    }

    /** To be called after something has been posted, from any thread. */
    public void posted() {
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
    public void run(Work work, AfterTurn afterTurn) {
        while (true) {
            long now = clock.now();
            work.takePosted(now);
            waiter.drain((tag, peer, bytes) -> work.told(now, tag, peer, bytes));
            work.takeDue(now);
            long next = afterTurn.at(now);
            if (next == END) {
                return;
            }
            waiting = true;
            long wait = Math.min(next, work.nextDue()) - now;
            if (!work.waits() && wait > 0) {
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
