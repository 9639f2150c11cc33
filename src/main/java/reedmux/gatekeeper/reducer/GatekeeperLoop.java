package reedmux.gatekeeper.reducer;

import reedmux.common.time.MonotonicClock;

/**
 * The gatekeeper's event loop: each iteration reads the clock once, processes what other threads have posted, datagrams
 * of peers and due timers, and then waits. The thread that runs it owns all reducers. Times are in microseconds.
 */
public final class GatekeeperLoop {

    /** Receives peers' datagrams. */
    public interface PeerDatagramHandler {
        /** A datagram of the peer of that number has come in for the service of that tag. */
        void onDatagram(int tag, int peer, byte[] bytes);
    }

    /** What each iteration does. */
    public interface LoopTasks {

        /** Processes what has been posted, or as much of it as one iteration may. */
        void processPosted(long now);

        /** Processes a peer's datagram for the service of that tag. */
        void onPeerDatagram(long now, int tag, int peer, byte[] bytes);

        /** Processes the timers that are due. */
        void processDueTimers(long now);

        /** Whether there is more to be processed at once. */
        boolean hasPending();

        /** When the next timer is due; the far future if there is none. */
        long nextDue();
    }

    /** Where the loop waits, and where datagrams come in. */
    public interface LoopWaiter {

        /** Waits until woken, until something has come in or for so many microseconds. */
        void await(long micros);

        /** Ends a wait, from any thread. */
        void wake();

        /** Hands over the datagrams that have come in. */
        void receive(PeerDatagramHandler handler);
    }

    /** In place of a time: no further iteration. */
    public static final long STOP = Long.MIN_VALUE;

    private final MonotonicClock clock;
    private final LoopWaiter waiter;
    private volatile boolean waiting;

    /** A loop that waits at {@code waiter}. */
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

    /** What is done at the end of each iteration. */
    public interface AfterIteration {

        /** Returns when it wants to be called again at the latest, or {@link #STOP}. */
        long run(long now);
    }

    /** Iterates until {@code afterIteration} returns {@link #STOP}. */
    public void run(LoopTasks tasks, AfterIteration afterIteration) {
        while (true) {
            long now = clock.now();
            tasks.processPosted(now);
            waiter.receive((tag, peer, bytes) -> tasks.onPeerDatagram(now, tag, peer, bytes));
            tasks.processDueTimers(now);
            long next = afterIteration.run(now);
            if (next == STOP) {
                return;
            }
            waiting = true;
            long wait = Math.min(next, tasks.nextDue()) - now;
            if (!tasks.hasPending() && wait > 0) {
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
