package reedmux.operator;

import java.util.concurrent.TimeUnit;

/**
 * The life of one gatekeeper: starting, serving, draining, leaving. It is told events with their times, in
 * microseconds of the program's clock, and says what that means for clients; it does nothing itself. Events
 * and questions may come from any thread.
 */
public final class LifeCycle {

    /** Where it stands. From leaving no way leads back. */
    public enum Phase {
        STARTING,
        SERVING,
        DRAINING,
        LEAVING
    }

    /**
     * After the call to drain, new connections arrive for a moment and kept ones carry on: closed before that
     * has calmed down, an idle one would cross the next request on it.
     */
    static final long DRAIN_IDLE = TimeUnit.MILLISECONDS.toMicros(1_000);
    /** After a SIGTERM new connections come for a while yet, and are served. */
    static final long ACCEPT_ON = TimeUnit.MILLISECONDS.toMicros(600);
    /** The same where a successor has taken over the address: what is on its way comes within this. */
    static final long ACCEPT_ON_SUCCEEDED = TimeUnit.MILLISECONDS.toMicros(20);
    /** How long after a SIGTERM with a successor idle connections may carry one more request. */
    static final long LEAVE_IDLE_SUCCEEDED = TimeUnit.MILLISECONDS.toMicros(1_000);
    /** Time for the last answers to leave. */
    static final long LAST_WRITES = TimeUnit.MILLISECONDS.toMicros(50);

    /** One state, replaced as a whole; {@code since} when this phase began. */
    private record Stage(Phase phase, long since, boolean warm, boolean succeeded) {}

    private volatile Stage stage = new Stage(Phase.STARTING, 0, false, false);
    private long quietSince = Long.MAX_VALUE;

    /** It listens and has warmed up. Where it was told to drain meanwhile it drains on. */
    public synchronized void ready(long now) {
        Stage is = stage;
        Phase next = is.phase == Phase.STARTING ? Phase.SERVING : is.phase;
        stage = new Stage(next, next == is.phase ? is.since : now, true, is.succeeded);
    }

    /** To be emptied; a repeat changes nothing, and a program that leaves is emptied anyway. */
    public synchronized void drainOn(long now) {
        if (stage.phase == Phase.STARTING || stage.phase == Phase.SERVING) {
            stage = new Stage(Phase.DRAINING, now, stage.warm, stage.succeeded);
        }
    }

    /** To take clients again. */
    public synchronized void drainOff(long now) {
        if (stage.phase == Phase.DRAINING) {
            stage = new Stage(stage.warm ? Phase.SERVING : Phase.STARTING, now, stage.warm, stage.succeeded);
        }
    }

    /** Another process has taken over our address and what we knew, or it has ended again. */
    public synchronized void succeeded(boolean now) {
        stage = new Stage(stage.phase, stage.since, stage.warm, now);
    }

    /** To answer what was taken, and to end; only the first of several counts. */
    public synchronized void leave(long now) {
        if (stage.phase != Phase.LEAVING) {
            stage = new Stage(Phase.LEAVING, now, stage.warm, stage.succeeded);
        }
    }

    public Phase phase() {
        return stage.phase;
    }

    /** Whether clients are to be sent here, as far as the life cycle says. */
    public boolean takesClients() {
        return stage.phase == Phase.SERVING;
    }

    /** Whether each answer is its connection's last, so that clients move on. */
    public boolean lastAnswers() {
        return stage.phase == Phase.DRAINING || stage.phase == Phase.LEAVING;
    }

    /** Whether connections without a request are closed now. */
    public boolean closesIdle(long now) {
        Stage is = stage;
        return switch (is.phase) {
            case STARTING, SERVING -> false;
            case DRAINING -> now - is.since >= DRAIN_IDLE;
            case LEAVING -> now - is.since >= (is.succeeded ? LEAVE_IDLE_SUCCEEDED : ACCEPT_ON);
        };
    }

    /** Whether new connections are accepted. */
    public boolean accepts(long now) {
        Stage is = stage;
        return is.phase != Phase.LEAVING || now - is.since < (is.succeeded ? ACCEPT_ON_SUCCEEDED : ACCEPT_ON);
    }

    /**
     * Whether the program may end; to be asked after each turn by the one thread that runs them. An answer
     * has still to be written when the reducer has done with it, so it stays quiet for a moment first.
     *
     * @param unanswered requests that still wait for their answer
     * @param connected  whether clients still hold connections that could bring one more
     */
    public boolean ends(long now, int unanswered, boolean connected) {
        boolean quiet =
                stage.phase == Phase.LEAVING && !accepts(now) && unanswered == 0 && (closesIdle(now) || !connected);
        quietSince = quiet ? Math.min(quietSince, now) : Long.MAX_VALUE;
        return quiet && now - quietSince >= LAST_WRITES;
    }

    /** When to ask again at the latest. */
    public long next(long now) {
        Stage is = stage;
        return is.phase != Phase.LEAVING
                ? Long.MAX_VALUE
                : accepts(now) ? is.since + (is.succeeded ? ACCEPT_ON_SUCCEEDED : ACCEPT_ON) : now + LAST_WRITES;
    }
}
