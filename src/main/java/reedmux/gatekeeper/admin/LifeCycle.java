package reedmux.gatekeeper.admin;

import java.util.concurrent.TimeUnit;

/**
 * The life of one gatekeeper: starting, serving, draining, leaving. It is told events with their times, in
 * microseconds of the program's clock, and says what that means for clients; it does nothing itself. Events
 * and questions may come from any thread.
 */
public final class LifeCycle {

    /** Where it stands. From leaving no way leads back. */
    public enum LifeCyclePhase {
        STARTING,
        SERVING,
        DRAINING,
        LEAVING
    }

    /**
     * After the call to drain, new connections arrive for a moment and kept ones carry on: closed before that
     * has calmed down, an idle one would cross the next request on it.
     */
    static final long DRAIN_IDLE_GRACE_MICROS = TimeUnit.MILLISECONDS.toMicros(1_000);
    /** After a SIGTERM new connections come for a while yet, and are served. */
    static final long ACCEPT_GRACE_MICROS = TimeUnit.MILLISECONDS.toMicros(600);
    /** The same where a successor has taken over the address: what is on its way comes within this. */
    static final long ACCEPT_GRACE_WITH_SUCCESSOR_MICROS = TimeUnit.MILLISECONDS.toMicros(20);
    /** How long after a SIGTERM with a successor idle connections may carry one more request. */
    static final long IDLE_GRACE_WITH_SUCCESSOR_MICROS = TimeUnit.MILLISECONDS.toMicros(1_000);
    /** Time for the last answers to leave. */
    static final long FINAL_WRITE_GRACE_MICROS = TimeUnit.MILLISECONDS.toMicros(50);

    /** One state, replaced as a whole; {@code since} when this phase began. */
    private record LifeCycleState(LifeCyclePhase phase, long since, boolean ready, boolean hasSuccessor) {}

    private volatile LifeCycleState state = new LifeCycleState(LifeCyclePhase.STARTING, 0, false, false);
    private long quietSince = Long.MAX_VALUE;

    /** It listens and has warmed up. Where it was told to drain meanwhile it drains on. */
    public synchronized void onReady(long now) {
        LifeCycleState is = state;
        LifeCyclePhase next = is.phase == LifeCyclePhase.STARTING ? LifeCyclePhase.SERVING : is.phase;
        state = new LifeCycleState(next, next == is.phase ? is.since : now, true, is.hasSuccessor);
    }

    /** To be emptied; a repeat changes nothing, and a program that leaves is emptied anyway. */
    public synchronized void startDraining(long now) {
        if (state.phase == LifeCyclePhase.STARTING || state.phase == LifeCyclePhase.SERVING) {
            state = new LifeCycleState(LifeCyclePhase.DRAINING, now, state.ready, state.hasSuccessor);
        }
    }

    /** To take clients again. */
    public synchronized void stopDraining(long now) {
        if (state.phase == LifeCyclePhase.DRAINING) {
            state = new LifeCycleState(
                    state.ready ? LifeCyclePhase.SERVING : LifeCyclePhase.STARTING,
                    now,
                    state.ready,
                    state.hasSuccessor);
        }
    }

    /** Another process has taken over our address and what we knew, or it has ended again. */
    public synchronized void setSuccessor(boolean now) {
        state = new LifeCycleState(state.phase, state.since, state.ready, now);
    }

    /** To answer what was taken, and to end; only the first of several counts. */
    public synchronized void startShutdown(long now) {
        if (state.phase != LifeCyclePhase.LEAVING) {
            state = new LifeCycleState(LifeCyclePhase.LEAVING, now, state.ready, state.hasSuccessor);
        }
    }

    public LifeCyclePhase phase() {
        return state.phase;
    }

    /** Whether clients are to be sent here, as far as the life cycle says. */
    public boolean acceptsClients() {
        return state.phase == LifeCyclePhase.SERVING;
    }

    /** Whether each answer is its connection's last, so that clients move on. */
    public boolean closesAfterResponse() {
        return state.phase == LifeCyclePhase.DRAINING || state.phase == LifeCyclePhase.LEAVING;
    }

    /** Whether connections without a request are closed now. */
    public boolean closesIdleConnections(long now) {
        LifeCycleState is = state;
        return switch (is.phase) {
            case STARTING, SERVING -> false;
            case DRAINING -> now - is.since >= DRAIN_IDLE_GRACE_MICROS;
            case LEAVING ->
                now - is.since >= (is.hasSuccessor ? IDLE_GRACE_WITH_SUCCESSOR_MICROS : ACCEPT_GRACE_MICROS);
        };
    }

    /** Whether new connections are accepted. */
    public boolean acceptsConnections(long now) {
        LifeCycleState is = state;
        return is.phase != LifeCyclePhase.LEAVING
                || now - is.since < (is.hasSuccessor ? ACCEPT_GRACE_WITH_SUCCESSOR_MICROS : ACCEPT_GRACE_MICROS);
    }

    /**
     * Whether the program may end; to be asked after each turn by the one thread that runs them. An answer
     * has still to be written when the reducer has done with it, so it stays quiet for a moment first.
     *
     * @param unanswered requests that still wait for their answer
     * @param connected  whether clients still hold connections that could bring one more
     */
    public boolean mayTerminate(long now, int unanswered, boolean connected) {
        boolean quiet = state.phase == LifeCyclePhase.LEAVING
                && !acceptsConnections(now)
                && unanswered == 0
                && (closesIdleConnections(now) || !connected);
        quietSince = quiet ? Math.min(quietSince, now) : Long.MAX_VALUE;
        return quiet && now - quietSince >= FINAL_WRITE_GRACE_MICROS;
    }

    /** When to ask again at the latest. */
    public long nextCheck(long now) {
        LifeCycleState is = state;
        return is.phase != LifeCyclePhase.LEAVING
                ? Long.MAX_VALUE
                : acceptsConnections(now)
                        ? is.since + (is.hasSuccessor ? ACCEPT_GRACE_WITH_SUCCESSOR_MICROS : ACCEPT_GRACE_MICROS)
                        : now + FINAL_WRITE_GRACE_MICROS;
    }
}
