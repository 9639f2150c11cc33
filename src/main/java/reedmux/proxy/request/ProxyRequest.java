package reedmux.proxy.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import reedmux.control.configuration.RouteItem;
import reedmux.control.configuration.TenantItem;

/** A client's request and its state, which is changed by {@link RequestTracker} alone. */
public final class ProxyRequest {

    enum RequestState {
        NEW,
        /** No checker could take it; it is in the tracker's queue. */
        QUEUED,
        /** It was sent to a checker at least once, and has no response yet. */
        IN_FLIGHT,
        /** It has its response, or its client is gone. */
        COMPLETED
    }

    /** The request as it was received; the tracker needs to know no more of it. */
    public interface RequestSource {

        /** Whether all bytes are still here that an attempt would have to send. */
        boolean isReplayable();

        /** Whether its transfer takes long enough to prefer a checker in the same zone. */
        boolean isLarge();

        /** Whether all of it has been received from its client. */
        boolean isFullyReceived();

        /** The client's connection that it came over; opaque here. */
        Object connection();
    }

    private final RouteItem route;
    private final TenantItem tenant;
    private final RequestSource source;
    private final long deadline;
    RequestState state = RequestState.NEW;
    /** Orders requests of the same priority while they are queued. */
    long queueNumber;
    /** The service that was drawn for it. */
    String service;
    /** Attempts that a checker may have received, and those that certainly reached none. */
    int sentAttempts;

    int unreachedAttempts;
    boolean mayHaveExecuted;
    /** Its client has left, so that nothing of it is needed any more. */
    boolean abandoned;

    boolean quotaRefunded;
    final List<RequestAttempt> pendingAttempts = new ArrayList<>();
    /** The ids of checkers that it was sent to. */
    final Set<String> triedCheckers = new HashSet<>();

    /**
     * A request that is new.
     *
     * @param tenant   null where no quota is charged
     * @param deadline in microseconds
     */
    public ProxyRequest(RouteItem route, TenantItem tenant, RequestSource source, long deadline) {
        this.route = route;
        this.tenant = tenant;
        this.source = source;
        this.deadline = deadline;
    }

    /** The route that the request takes. */
    public RouteItem route() {
        return route;
    }

    /** Whose quota it is charged to, or null. */
    public TenantItem tenant() {
        return tenant;
    }

    /** Where the request came from, and where its response goes. */
    public RequestSource source() {
        return source;
    }

    /** When its client stops waiting, in microseconds. */
    public long deadline() {
        return deadline;
    }

    /** Whether it was certainly not executed, and no attempt of it can be any more. */
    boolean neverExecuted() {
        return sentAttempts == 0 && !mayHaveExecuted;
    }

    /** Whether no checker can have received anything of it so far. */
    boolean neverReachedChecker() {
        for (RequestAttempt attempt : pendingAttempts) {
            if (attempt.isConnected()) {
                return false;
            }
        }
        return !mayHaveExecuted;
    }

    /** Lower ones go first; a tenant's own priority stands before the route's. */
    int priority() {
        return tenant != null && tenant.priority() >= 0 ? tenant.priority() : route.priority();
    }
}
