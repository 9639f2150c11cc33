package reedmux.gatekeeper.admin;

import java.util.concurrent.TimeUnit;

/**
 * The life cycle of one gatekeeper: starting, serving, draining, leaving. Events go in with their times, in
 * microseconds of the program's clock; what follows for clients and connections is queried. Does nothing itself; for
 * all threads.
 */
public final class LifeCycle {

    /** The phases; LEAVING is final. Operators read the names. */
    public enum LifeCyclePhase {
        STARTING,
        SERVING,
        DRAINING,
        LEAVING
    }

    /**
     * How long idle connections stay open while draining: clients need a moment to notice it, and would otherwise send
     * their next request on a connection that is being closed.
     */
    static final long DRAIN_IDLE_GRACE_MICROS = TimeUnit.MILLISECONDS.toMicros(1_000);
    /** How long connections are accepted after a SIGTERM. */
    static final long ACCEPT_GRACE_MICROS = TimeUnit.MILLISECONDS.toMicros(600);
    /** The same if a successor listens on the address: only connections on their way are left. */
    static final long ACCEPT_GRACE_WITH_SUCCESSOR_MICROS = TimeUnit.MILLISECONDS.toMicros(20);
    /** How long idle connections stay open after a SIGTERM with a successor. */
    static final long IDLE_GRACE_WITH_SUCCESSOR_MICROS = TimeUnit.MILLISECONDS.toMicros(1_000);
    /** Time to write the last responses. */
    static final long FINAL_WRITE_GRACE_MICROS = TimeUnit.MILLISECONDS.toMicros(50);

    /** The state, replaced as a whole; {@code since} is the begin of the phase. */
    private record LifeCycleState(LifeCyclePhase phase, long phaseStart, boolean ready, boolean hasSuccessor) {}

    private volatile LifeCycleState state = new LifeCycleState(LifeCyclePhase.STARTING, 0, false, false);
    private long quiescentSince = Long.MAX_VALUE;

    /** It listens and has warmed up; if it drains it goes on draining. */
    public synchronized void onReady(long now) {
        LifeCycleState current = state;
        LifeCyclePhase next = current.phase == LifeCyclePhase.STARTING ? LifeCyclePhase.SERVING : current.phase;
        state = new LifeCycleState(next, next == current.phase ? current.phaseStart : now, true, current.hasSuccessor);
    }

    /** Starts draining; no effect if it drains or leaves already. */
    public synchronized void startDraining(long now) {
        if (state.phase == LifeCyclePhase.STARTING || state.phase == LifeCyclePhase.SERVING) {
            state = new LifeCycleState(LifeCyclePhase.DRAINING, now, state.ready, state.hasSuccessor);
        }
    }

    /** Stops draining. */
    public synchronized void stopDraining(long now) {
        if (state.phase == LifeCyclePhase.DRAINING) {
            state = new LifeCycleState(
                    state.ready ? LifeCyclePhase.SERVING : LifeCyclePhase.STARTING,
                    now,
                    state.ready,
                    state.hasSuccessor);
        }
    }

    /** Sets whether another process has taken over our address and state. */
    public synchronized void setSuccessor(boolean present) {
        state = new LifeCycleState(state.phase, state.phaseStart, state.ready, present);
    }

    /** Starts the graceful shutdown; only the first call counts. */
    public synchronized void startShutdown(long now) {
        if (state.phase != LifeCyclePhase.LEAVING) {
            state = new LifeCycleState(LifeCyclePhase.LEAVING, now, state.ready, state.hasSuccessor);
        }
    }

    /** The phase now. */
    public LifeCyclePhase phase() {
        return state.phase;
    }

    /** Whether clients may be sent here. */
    public boolean acceptsClients() {
        return state.phase == LifeCyclePhase.SERVING;
    }

    /** Whether connections are closed after each response, so that clients go elsewhere. */
    public boolean closesAfterResponse() {
        return state.phase == LifeCyclePhase.DRAINING || state.phase == LifeCyclePhase.LEAVING;
    }

    /** Whether idle connections are closed now. */
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

    /** Whether new connections are accepted. */
    public boolean acceptsConnections(long now) {
        LifeCycleState current = state;
        return current.phase != LifeCyclePhase.LEAVING
                || now - current.phaseStart
                        < (current.hasSuccessor ? ACCEPT_GRACE_WITH_SUCCESSOR_MICROS : ACCEPT_GRACE_MICROS);
    }

    /**
     * Whether the program may end; for the event loop, after each turn. Responses may still have to be written after
     * the last request was answered, so it waits a moment without requests first.
     *
     * @param unanswered requests without an answer
     * @param connected  whether clients have connections open
     */
    public boolean mayTerminate(long now, int unanswered, boolean connected) {
        boolean quiet = state.phase == LifeCyclePhase.LEAVING
                && !acceptsConnections(now)
                && unanswered == 0
                && (closesIdleConnections(now) || !connected);
        quiescentSince = quiet ? Math.min(quiescentSince, now) : Long.MAX_VALUE;
        return quiet && now - quiescentSince >= FINAL_WRITE_GRACE_MICROS;
    }

    /** When to call {@link #mayTerminate} again at the latest. */
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
