package reedmux.gatekeeper.reducer;

import reedmux.common.time.MonotonicClock;

/**
 * The gatekeeper's event loop. Each iteration reads the clock once, processes the events posted by other threads, the
 * datagrams received from peers and the due timers, and then waits. The thread that runs the loop owns all reducers.
 * Times are in microseconds.
 */
public final class GatekeeperLoop {

    /** Receives datagrams from peers. */
    public interface PeerDatagramHandler {
        /** Called for each datagram that {@code peer} sent to the service with the given tag. */
        void onDatagram(int tag, int peer, byte[] bytes);
    }

    /** The work of one iteration. */
    public interface LoopTasks {

        /** Processes posted events, up to the limit for one iteration. */
        void processPosted(long now);

        /** Processes a datagram that {@code peer} sent to the service with the given tag. */
        void onPeerDatagram(long now, int tag, int peer, byte[] bytes);

        /** Processes the due timers. */
        void processDueTimers(long now);

        /** Returns whether events are pending, so that the next iteration must start without waiting. */
        boolean hasPending();

        /** Returns the due time of the next timer, or {@link Long#MAX_VALUE} if no timer is set. */
        long nextDue();
    }

    /** Blocks the loop between iterations and supplies the received datagrams. */
    public interface LoopWaiter {

        /** Waits until {@link #wake} is called, a datagram arrives or {@code micros} microseconds have elapsed. */
        void await(long micros);

        /** Wakes up a waiting loop. Can be called from any thread. */
        void wake();

        /** Passes all received datagrams to {@code handler}. */
        void receive(PeerDatagramHandler handler);
    }

    /** Returned by {@link AfterIteration#run} in place of a time to stop the loop. */
    public static final long STOP = Long.MIN_VALUE;

    private final MonotonicClock clock;
    private final LoopWaiter waiter;
    private volatile boolean waiting;

    /** Creates a loop that waits on {@code waiter}. */
    public GatekeeperLoop(MonotonicClock clock, LoopWaiter waiter) {
        this.clock = clock;
        this.waiter = waiter;
    }

    /** Wakes up the loop if it is waiting. Must be called after each posted event; can be called from any thread. */
    public void notifyPosted() {
        if (waiting) {
            waiting = false;
            waiter.wake();
        }
    }

    /** A callback at the end of each iteration. */
    public interface AfterIteration {

        /** Returns the latest time at which it must be called again, or {@link #STOP} to stop the loop. */
        long run(long now);
    }

    /** Runs iterations until {@code afterIteration} returns {@link #STOP}. */
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

    /** Wakes up the loop early. Can be called from any thread. */
    public void wake() {
        waiter.wake();
    }
}
