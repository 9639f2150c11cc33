package reedmux.attempt;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import reedmux.item.Route;
import reedmux.item.Tenant;

/** One request and what has become of it. Its state changes in {@link Requests} alone. */
public final class Exchange {

    enum State {
        NEW,
        WAITING,
        TRYING,
        OVER
    }

    /** What only those who read and write it need to know. */
    public interface Source {

        /** Whether it can still be sent as a whole. */
        boolean sendable();

        boolean large();

        /** Whether all of it has come in from its client. */
        boolean whole();
    }

    private final Route route;
    private final Tenant tenant;
    private final Source source;
    private final long takenAt;
    private final long deadline;
    State state = State.NEW;
    /** Its place in the queue while it waits. */
    long number;

    String plant;
    /** Sendings that may have arrived at a checker, and those that certainly did not. */
    int sent;

    int unreached;
    boolean mayHaveRun;
    final List<Try> live = new ArrayList<>();
    final Set<String> tried = new HashSet<>();

    /** {@code tenant} is null where nobody is counted. */
    public Exchange(Route route, Tenant tenant, Source source, long takenAt, long deadline) {
        this.route = route;
        this.tenant = tenant;
        this.source = source;
        this.takenAt = takenAt;
        this.deadline = deadline;
    }

    public Route route() {
        return route;
    }

    public Tenant tenant() {
        return tenant;
    }

    public Source source() {
        return source;
    }

    public long deadline() {
        return deadline;
    }

    public boolean over() {
        return state == State.OVER;
    }

    /** Whether it is certain that it never ran. */
    public boolean neverRan() {
        return sent == 0 && !mayHaveRun;
    }

    /** Whether it is at no checker, and nothing of it may be. */
    boolean neverOffered() {
        for (Try one : live) {
            if (one.up()) {
                return false;
            }
        }
        return !mayHaveRun;
    }

    int priority() {
        return tenant != null && tenant.priority() >= 0 ? tenant.priority() : route.priority();
    }
}
