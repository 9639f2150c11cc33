package reedmux.proxy.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import reedmux.control.configuration.RouteItem;
import reedmux.control.configuration.TenantItem;

/** One request and what has become of it. Its state changes in {@link RequestTracker} alone. */
public final class ProxyRequest {

    enum RequestState {
        NEW,
        QUEUED,
        IN_FLIGHT,
        COMPLETED
    }

    /** What only those who read and write it need to know. */
    public interface RequestSource {

        /** Whether it can still be sent as a whole. */
        boolean isReplayable();

        boolean isLarge();

        /** Whether all of it has come in from its client. */
        boolean isFullyReceived();
    }

    private final RouteItem route;
    private final TenantItem tenant;
    private final RequestSource source;
    private final long acceptedAt;
    private final long deadline;
    RequestState state = RequestState.NEW;
    /** Its place in the queue while it waits. */
    long queueNumber;

    String plant;
    /** Sendings that may have arrived at a checker, and those that certainly did not. */
    int sentAttempts;

    int unreachedAttempts;
    boolean mayHaveExecuted;
    final List<RequestAttempt> pendingAttempts = new ArrayList<>();
    final Set<String> triedCheckers = new HashSet<>();

    /** {@code tenant} is null where nobody is counted. */
    public ProxyRequest(RouteItem route, TenantItem tenant, RequestSource source, long takenAt, long deadline) {
        this.route = route;
        this.tenant = tenant;
        this.source = source;
        this.acceptedAt = takenAt;
        this.deadline = deadline;
    }

    public RouteItem route() {
        return route;
    }

    public TenantItem tenant() {
        return tenant;
    }

    public RequestSource source() {
        return source;
    }

    public long deadline() {
        return deadline;
    }

    public boolean isCompleted() {
        return state == RequestState.COMPLETED;
    }

    /** Whether it is certain that it never ran. */
    public boolean neverExecuted() {
        return sentAttempts == 0 && !mayHaveExecuted;
    }

    /** Whether it is at no checker, and nothing of it may be. */
    boolean neverReachedChecker() {
        for (RequestAttempt one : pendingAttempts) {
            if (one.isConnected()) {
                return false;
            }
        }
        return !mayHaveExecuted;
    }

    int priority() {
        return tenant != null && tenant.priority() >= 0 ? tenant.priority() : route.priority();
    }
}
