package reedmux.proxy.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import reedmux.control.configuration.RouteItem;
import reedmux.control.configuration.TenantItem;

/** A client's request and its state, which only {@link RequestTracker} changes. */
public final class ProxyRequest {

    enum RequestState {
        /** The request has not been dispatched or queued yet. */
        NEW,
        /** No checker could take the request; it is in the tracker's queue. */
        QUEUED,
        /** The request was sent to a checker at least once and has no response yet. */
        IN_FLIGHT,
        /** The response was sent, or the client has disconnected. */
        COMPLETED
    }

    /** The parts of the received request that the tracker needs. */
    public interface RequestSource {

        /** Returns whether all bytes that a further attempt would have to send are still buffered. */
        boolean isReplayable();

        /** Returns whether the transfer takes long enough to prefer a checker in the same zone more strongly. */
        boolean isLarge();

        /** Returns whether the whole request has been received from the client. */
        boolean isFullyReceived();

        /** Releases what only further or incomplete attempts need, because there are none any more. */
        void release();

        /** Returns the client connection on which the request was received; only compared by identity here. */
        Object connection();
    }

    private final RouteItem route;
    private final TenantItem tenant;
    private final RequestSource source;
    private final long deadline;
    RequestState state = RequestState.NEW;
    /** Orders queued requests of the same priority. */
    long queueNumber;
    /** The service that was chosen by the weights of the route. */
    String service;
    /** Number of attempts that a checker may have received. */
    int sentAttempts;
    /** Number of attempts that certainly did not reach a checker. */
    int unreachedAttempts;
    /** Whether at least one ended attempt may have been executed. */
    boolean mayHaveExecuted;
    /** Whether the client has disconnected, so that no response is needed. */
    boolean abandoned;

    /** Whether the quota was refunded after the client had disconnected. */
    boolean quotaRefunded;

    final List<RequestAttempt> pendingAttempts = new ArrayList<>();
    /** Scheduled events of the request; they are cancelled when it is completed. */
    private final List<RequestPort.ScheduledEvent> scheduledEvents = new ArrayList<>();
    /** Ids of the checkers that an attempt was started for. */
    final Set<String> triedCheckers = new HashSet<>();

    /**
     * Creates a new request.
     *
     * @param tenant   tenant whose quota is charged, or null if no quota is charged
     * @param deadline time at which the request times out, in microseconds
     */
    public ProxyRequest(RouteItem route, TenantItem tenant, RequestSource source, long deadline) {
        this.route = route;
        this.tenant = tenant;
        this.source = source;
        this.deadline = deadline;
    }

    /** Returns the route of the request. */
    public RouteItem route() {
        return route;
    }

    /** Returns the tenant whose quota the request is charged to, or null. */
    public TenantItem tenant() {
        return tenant;
    }

    /** Returns the source of the request, which also receives its response. */
    public RequestSource source() {
        return source;
    }

    /** Returns the time at which the client stops waiting, in microseconds. */
    public long deadline() {
        return deadline;
    }

    /** Adds a scheduled event that is cancelled when the request is completed. */
    void addScheduledEvent(RequestPort.ScheduledEvent event) {
        scheduledEvents.add(event);
    }

    /** Completes the request: no further attempt is started, and its scheduled events are cancelled. */
    void markCompleted() {
        state = RequestState.COMPLETED;
        scheduledEvents.forEach(RequestPort.ScheduledEvent::cancel);
        scheduledEvents.clear();
    }

    /** Releases the source of a completed request once each pending attempt has sent all of it. */
    void releaseIfUnused() {
        boolean unused = pendingAttempts.stream().allMatch(RequestAttempt::isFullySent);
        if (state == RequestState.COMPLETED && unused) {
            source.release();
        }
    }

    /** Returns whether the request was certainly not executed and no pending attempt can still execute it. */
    boolean neverExecuted() {
        return sentAttempts == 0 && !mayHaveExecuted;
    }

    /** Returns whether no checker can have received any part of the request so far. */
    boolean neverReachedChecker() {
        for (RequestAttempt attempt : pendingAttempts) {
            if (attempt.isConnected()) {
                return false;
            }
        }
        return !mayHaveExecuted;
    }

    /** Returns the priority; lower values go first. A priority of the tenant overrides that of the route. */
    int priority() {
        return tenant != null && tenant.priority() >= 0 ? tenant.priority() : route.priority();
    }
}
