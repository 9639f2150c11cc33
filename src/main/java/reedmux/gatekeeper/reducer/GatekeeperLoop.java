package reedmux.gatekeeper.reducer;

import reedmux.common.time.MonotonicClock;

/**
 * The turns of the program: each reads the clock once, takes in what others have posted and what is due, and
 * then waits. The thread that runs it owns all reducers.
 */
public final class GatekeeperLoop {

    /** Takes in what peers have told, for the pool of that tag. */
    public interface PeerDatagramHandler {
        void onDatagram(int tag, int peer, byte[] bytes);
    }

    /** What the turns do. */
    public interface LoopTasks {

        /** Takes in what has been posted, or as much of it as one turn may. */
        void processPosted(long now);

        /** Takes in what a peer has told. */
        void onPeerDatagram(long now, int tag, int peer, byte[] bytes);

        /** Takes in what is due. */
        void processDueTimers(long now);

        /** Whether there is more to be taken in at once. */
        boolean hasPending();

        /** When something is due next; the far future if nothing is. */
        long nextDue();
    }

    /** Where the loop waits, and a source of events itself. */
    public interface LoopWaiter {

        /** Waits until woken, until something has come in or for so many microseconds. */
        void await(long micros);

        /** Ends a wait, from any thread. */
        void wake();

        /** Hands over what has come in. */
        void receive(PeerDatagramHandler sink);
    }

    /** No further turn. */
    public static final long STOP = Long.MIN_VALUE;

    private final MonotonicClock clock;
    private final LoopWaiter waiter;
    private volatile boolean waiting;

    public GatekeeperLoop(MonotonicClock clock, LoopWaiter waiter) {
        this.clock = clock;
        this.waiter = waiter;
    }

    /** To be called after something has been posted, from any thread. */
    public void notifyPosted() {
        if (waiting) {
            waiting = false;
            waiter.wake();
        }
    }

    /** What is to be seen to after a turn. */
    public interface AfterIteration {

        /** Returns when it wants to be called again at the latest, or {@link #STOP}. */
        long run(long now);
    }

    /** Runs turns until {@code afterTurn} ends them. */
    public void run(LoopTasks work, AfterIteration afterTurn) {
        while (true) {
            long now = clock.now();
            work.processPosted(now);
            waiter.receive((tag, peer, bytes) -> work.onPeerDatagram(now, tag, peer, bytes));
            work.processDueTimers(now);
            long next = afterTurn.run(now);
            if (next == STOP) {
                return;
            }
            waiting = true;
            long wait = Math.min(next, work.nextDue()) - now;
            if (!work.hasPending() && wait > 0) {
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
