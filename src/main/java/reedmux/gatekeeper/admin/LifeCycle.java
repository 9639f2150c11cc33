package reedmux.gatekeeper.admin;

import java.util.concurrent.TimeUnit;

/**
 * The life cycle of one gatekeeper: starting, serving, draining, leaving. Callers report events with the time in
 * microseconds of the process's clock, and query how clients and connections are to be handled in the current phase.
 * This class performs no I/O and starts no actions. Thread-safe, except that {@link #mayTerminate} is called only by
 * the event loop.
 */
public final class LifeCycle {

    /** The phases; {@link #LEAVING} is final. The admin server prints the names in lower case. */
    public enum LifeCyclePhase {
        STARTING,
        SERVING,
        DRAINING,
        LEAVING
    }

    /**
     * How long idle connections stay open after draining starts, in microseconds. Clients need some time to notice the
     * draining; without it they would send their next request on a connection that is being closed.
     */
    static final long DRAIN_IDLE_GRACE_MICROS = TimeUnit.MILLISECONDS.toMicros(1_000);
    /**
     * How long new connections are accepted after a SIGTERM, and idle connections stay open, in microseconds. Applies
     * if there is no successor.
     */
    static final long ACCEPT_GRACE_MICROS = TimeUnit.MILLISECONDS.toMicros(600);
    /**
     * How long new connections are accepted after a SIGTERM if a successor listens on the same address, in
     * microseconds. Only connections that are already being established have to be accepted then.
     */
    static final long ACCEPT_GRACE_WITH_SUCCESSOR_MICROS = TimeUnit.MILLISECONDS.toMicros(20);
    /** How long idle connections stay open after a SIGTERM if there is a successor, in microseconds. */
    static final long IDLE_GRACE_WITH_SUCCESSOR_MICROS = TimeUnit.MILLISECONDS.toMicros(1_000);
    /** How long the process keeps running after the last request, to write the last responses, in microseconds. */
    static final long FINAL_WRITE_GRACE_MICROS = TimeUnit.MILLISECONDS.toMicros(50);

    /**
     * An immutable snapshot of the state, replaced on each change.
     *
     * @param phaseStart   when the phase began
     * @param ready        whether the process listens and has warmed up
     * @param hasSuccessor whether another process has taken over the address and the state
     */
    private record LifeCycleState(LifeCyclePhase phase, long phaseStart, boolean ready, boolean hasSuccessor) {}

    private volatile LifeCycleState state = new LifeCycleState(LifeCyclePhase.STARTING, 0, false, false);
    private long quiescentSince = Long.MAX_VALUE;

    /**
     * Reports that the process listens and has warmed up. A gatekeeper that is starting begins to serve; one that is
     * draining keeps draining.
     */
    public synchronized void onReady(long now) {
        LifeCycleState current = state;
        LifeCyclePhase next = current.phase == LifeCyclePhase.STARTING ? LifeCyclePhase.SERVING : current.phase;
        state = new LifeCycleState(next, next == current.phase ? current.phaseStart : now, true, current.hasSuccessor);
    }

    /** Starts draining. Has no effect if the gatekeeper is already draining or leaving. */
    public synchronized void startDraining(long now) {
        if (state.phase == LifeCyclePhase.STARTING || state.phase == LifeCyclePhase.SERVING) {
            state = new LifeCycleState(LifeCyclePhase.DRAINING, now, state.ready, state.hasSuccessor);
        }
    }

    /** Stops draining and returns to serving, or to starting if the process is not ready yet. */
    public synchronized void stopDraining(long now) {
        if (state.phase == LifeCyclePhase.DRAINING) {
            state = new LifeCycleState(
                    state.ready ? LifeCyclePhase.SERVING : LifeCyclePhase.STARTING,
                    now,
                    state.ready,
                    state.hasSuccessor);
        }
    }

    /** Sets whether another process has taken over the address and the state of this one. */
    public synchronized void setSuccessor(boolean hasSuccessor) {
        state = new LifeCycleState(state.phase, state.phaseStart, state.ready, hasSuccessor);
    }

    /** Starts the graceful shutdown. Later calls have no effect. */
    public synchronized void startShutdown(long now) {
        if (state.phase != LifeCyclePhase.LEAVING) {
            state = new LifeCycleState(LifeCyclePhase.LEAVING, now, state.ready, state.hasSuccessor);
        }
    }

    /** Returns the current phase. */
    public LifeCyclePhase phase() {
        return state.phase;
    }

    /** Returns whether clients may be routed to this gatekeeper. */
    public boolean acceptsClients() {
        return state.phase == LifeCyclePhase.SERVING;
    }

    /** Returns whether connections are closed after each response, so that clients reconnect elsewhere. */
    public boolean closesAfterResponse() {
        return state.phase == LifeCyclePhase.DRAINING || state.phase == LifeCyclePhase.LEAVING;
    }

    /** Returns whether idle connections are to be closed at {@code now}. */
    public boolean closesIdleConnections(long now) {
        LifeCycleState current = state;
        return switch (current.phase) {
            case STARTING, SERVING -> false;
            case DRAINING -> now - current.phaseStart >= DRAIN_IDLE_GRACE_MICROS;
            case LEAVING ->
                now - current.phaseStart
                        >= (current.hasSuccessor ? IDLE_GRACE_WITH_SUCCESSOR_MICROS : ACCEPT_GRACE_MICROS);
        };
    }

    /** Returns whether new connections are accepted at {@code now}. */
    public boolean acceptsConnections(long now) {
        LifeCycleState current = state;
        return current.phase != LifeCyclePhase.LEAVING
                || now - current.phaseStart
                        < (current.hasSuccessor ? ACCEPT_GRACE_WITH_SUCCESSOR_MICROS : ACCEPT_GRACE_MICROS);
    }

    /**
     * Returns whether the process may terminate. The event loop calls this after each iteration. The last responses may
     * still have to be written after the last request has been answered, so the process first waits for {@link
     * #FINAL_WRITE_GRACE_MICROS} without requests.
     *
     * @param unansweredRequests the number of requests without a response
     * @param clientsConnected   whether any client connection is open
     */
    public boolean mayTerminate(long now, int unansweredRequests, boolean clientsConnected) {
        boolean quiescent = state.phase == LifeCyclePhase.LEAVING
                && !acceptsConnections(now)
                && unansweredRequests == 0
                && (closesIdleConnections(now) || !clientsConnected);
        quiescentSince = quiescent ? Math.min(quiescentSince, now) : Long.MAX_VALUE;
        return quiescent && now - quiescentSince >= FINAL_WRITE_GRACE_MICROS;
    }

    /** Returns the latest time at which {@link #mayTerminate} has to be called again. */
    public long nextTerminationCheck(long now) {
        LifeCycleState current = state;
        return current.phase != LifeCyclePhase.LEAVING
                ? Long.MAX_VALUE
                : acceptsConnections(now)
                        ? current.phaseStart
                                + (current.hasSuccessor ? ACCEPT_GRACE_WITH_SUCCESSOR_MICROS : ACCEPT_GRACE_MICROS)
                        : now + FINAL_WRITE_GRACE_MICROS;
    }
}
