package reedmux.proxy.request;

import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import reedmux.control.configuration.RouteItem;
import reedmux.proxy.loadbalancer.CheckerStats;
import reedmux.proxy.loadbalancer.LoadBalancer;
import reedmux.proxy.retry.RetryBudget;

/**
 * Decides what becomes of each request: whether it is queued, to which checker it is sent, whether it is retried or
 * hedged, and what its one response is.
 *
 * <p>Two invariants: a request that may have been executed is sent again only if its route is idempotent; and a status
 * that promises that it was not executed is given only if that is certain. A checker that rejects a request, or that
 * could not be reached, counts as not having executed it; one that breaks off does not.
 *
 * <p>Deterministic: it is told events and the time, in microseconds, and calls its {@link RequestPort}. For one thread.
 */
public final class RequestTracker {
    private static final long MICROS_PER_MILLI = 1000;
    /** A connection that is not up by then leads to a machine that is down: its packets get no answer at all. */
    private static final long CONNECT_TIMEOUT_MICROS = 300 * MICROS_PER_MILLI;
    /** A checker ends a request at its deadline; an attempt that has no end this long after it will have none. */
    private static final long ATTEMPT_GRACE_MICROS = 400 * MICROS_PER_MILLI;
    /** Attempts that reached no checker cost nobody anything, but each takes time. */
    private static final int MAX_UNREACHED_ATTEMPTS = 4;

    private static final int MAX_QUEUED_REQUESTS = 256;
    /** With less than this left until the deadline a request is not sent again. */
    private static final long MIN_RETRY_TIME_MICROS = 20 * MICROS_PER_MILLI;
    /** The longest time in the queue, as a fraction of the route's latency target: the rest is for its execution. */
    private static final double QUEUE_TIME_TARGET_FRACTION = 0.2;
    /** When a hedged attempt follows, as a fraction of the target: earlier costs retry budget, later misses it. */
    private static final double HEDGE_DELAY_TARGET_FRACTION = 0.55;
    /** Tokens that a hedged attempt leaves in the retry budget, for requests that have failed. */
    private static final double HEDGE_BUDGET_RESERVE = 1;
    /** Clients that are rejected come back after one to three times this, spread at random. */
    private static final long MIN_RETRY_AFTER_MICROS = 120 * MICROS_PER_MILLI;
    /** A checker that is silent for a multiple of the usual latency, and at least the minimum, is suspect. */
    private static final int SILENCE_TOLERANCE_LATENCIES = 5;

    private static final long MIN_SILENCE_TOLERANCE_MICROS = 400 * MICROS_PER_MILLI;
    private static final long DEFAULT_LATENCY_MICROS = 100 * MICROS_PER_MILLI;
    private static final long NO_RETRY_AFTER = -1;

    private static final int REQUEST_TIMEOUT = 408;
    private static final int MISDIRECTED_REQUEST = 421;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int FIRST_SERVER_ERROR_STATUS = 500;
    private static final int BAD_GATEWAY = 502;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private final RequestPort port;
    private final LoadBalancer loadBalancer;
    private final RetryBudget retryBudget;
    private final PendingAttempts attempts;
    private final Random random;
    /** The time of the event that is being handled. */
    private long now;

    private long lastQueueNumber;
    private final TreeSet<QueuedRequest> queue = new TreeSet<>((one, other) -> one.priority != other.priority
            ? Integer.compare(one.priority, other.priority)
            : Long.compare(one.number, other.number));

    private record QueuedRequest(int priority, long number, ProxyRequest request) {}

    /** A tracker without requests; {@code seed}: of its random choices. */
    public RequestTracker(RequestPort port, LoadBalancer loadBalancer, RetryBudget retryBudget, long seed) {
        this.port = port;
        this.loadBalancer = loadBalancer;
        this.retryBudget = retryBudget;
        attempts = new PendingAttempts(port);
        random = new Random(seed);
    }

    /** The attempts that have not ended. */
    public PendingAttempts attempts() {
        return attempts;
    }

    /** Handles one event; {@code time} in microseconds, never earlier than before. */
    public void onEvent(long time, RequestEvent event) {
        now = time;
        if (event instanceof RequestEvent.RequestAccepted accepted) {
            onRequestAccepted(accepted.request());
        } else if (event instanceof RequestEvent.AttemptFinished finished) {
            onAttemptFinished(finished.attempt(), finished.execution(), finished.response());
        } else if (event instanceof RequestEvent.ConnectTimeout timeout) {
            onConnectTimeout(timeout.attempt());
        } else if (event instanceof RequestEvent.AttemptTimeout timeout) {
            onAttemptTimeout(timeout.attempt());
        } else if (event instanceof RequestEvent.HedgeDelayElapsed elapsed) {
            onHedgeDelayElapsed(elapsed.request());
        } else if (event instanceof RequestEvent.QueueTimeout timeout) {
            onQueueTimeout(timeout.request());
        } else if (event instanceof RequestEvent.DeadlineExceeded exceeded) {
            onDeadlineExceeded(exceeded.request());
        } else if (event instanceof RequestEvent.ClientDisconnected disconnected) {
            onClientDisconnected(disconnected.request());
        } else if (event instanceof RequestEvent.ClientConnectionClosed closed) {
            attempts.onClientConnectionClosed(closed.connection(), now);
        } else if (event instanceof RequestEvent.ProxyShutdown) {
            rejectQueued();
        } else {
            dispatchQueued();
        }
    }

    // ---- From acceptance to an attempt -------------------------------------------------------------

    private void onRequestAccepted(ProxyRequest request) {
        request.service = chooseService(request.route());
        port.schedule(request.deadline(), new RequestEvent.DeadlineExceeded(request));
        if (!dispatch(request)) {
            enqueue(request);
        }
    }

    /** Draws a service by the weights of a route, among those that have checkers, or all if none has. */
    private String chooseService(RouteItem route) {
        List<RouteItem.WeightedService> services = route.services();
        boolean anyAvailable = services.stream()
                .anyMatch(service -> service.weight() > 0 && loadBalancer.hasAvailableChecker(service.service()));
        double totalWeight = 0;
        for (RouteItem.WeightedService service : services) {
            totalWeight += !anyAvailable || loadBalancer.hasAvailableChecker(service.service()) ? service.weight() : 0;
        }
        double drawn = random.nextDouble() * totalWeight;
        String chosen = services.get(0).service();
        for (RouteItem.WeightedService service : services) {
            if (service.weight() > 0 && (!anyAvailable || loadBalancer.hasAvailableChecker(service.service()))) {
                chosen = service.service();
                drawn -= service.weight();
                if (drawn < 0) {
                    break;
                }
            }
        }
        return chosen;
    }

    /** Sends a request for the first time, if a checker can take it; returns whether one could. */
    private boolean dispatch(ProxyRequest request) {
        CheckerStats checker = chooseChecker(request);
        if (checker == null) {
            return false;
        }
        removeFromQueue(request);
        request.state = ProxyRequest.RequestState.IN_FLIGHT;
        retryBudget.onFirstAttempt(request.service);
        RouteItem route = request.route();
        if (route.idempotent() && route.maxAttempts() > 1) {
            long hedgeAt = now + (long) (HEDGE_DELAY_TARGET_FRACTION * route.latencyTargetMicros());
            port.schedule(hedgeAt, new RequestEvent.HedgeDelayElapsed(request));
        }
        startAttempt(request, checker);
        return true;
    }

    /** Sends a request once more, if a further checker can take it; returns whether one could. */
    private boolean dispatchAgain(ProxyRequest request) {
        CheckerStats checker = chooseChecker(request);
        if (checker == null) {
            return false;
        }
        removeFromQueue(request);
        request.state = ProxyRequest.RequestState.IN_FLIGHT;
        startAttempt(request, checker);
        return true;
    }

    private CheckerStats chooseChecker(ProxyRequest request) {
        return loadBalancer.choose(
                request.service,
                request.triedCheckers,
                request.source().isLarge(),
                silenceToleranceMicros(request.route()),
                now);
    }

    private long silenceToleranceMicros(RouteItem route) {
        double latency = loadBalancer.meanLatencyMicros(route.name(), DEFAULT_LATENCY_MICROS);
        return (long) Math.max(MIN_SILENCE_TOLERANCE_MICROS, SILENCE_TOLERANCE_LATENCIES * latency);
    }

    private void startAttempt(ProxyRequest request, CheckerStats checker) {
        RequestAttempt attempt = new RequestAttempt(request, checker, now);
        request.triedCheckers.add(checker.id());
        request.pendingAttempts.add(attempt);
        attempts.add(attempt);
        request.sentAttempts++;
        checker.onRequestStarted(now);
        port.schedule(now + CONNECT_TIMEOUT_MICROS, new RequestEvent.ConnectTimeout(attempt));
        port.schedule(request.deadline() + ATTEMPT_GRACE_MICROS, new RequestEvent.AttemptTimeout(attempt));
        port.send(attempt);
    }

    // ---- The queue ---------------------------------------------------------------------------------

    private void enqueue(ProxyRequest request) {
        request.state = ProxyRequest.RequestState.QUEUED;
        request.queueNumber = ++lastQueueNumber;
        queue.add(new QueuedRequest(request.priority(), request.queueNumber, request));
        long timeoutAt =
                now + (long) (QUEUE_TIME_TARGET_FRACTION * request.route().latencyTargetMicros());
        port.schedule(timeoutAt, new RequestEvent.QueueTimeout(request));
        if (queue.size() > MAX_QUEUED_REQUESTS) {
            reject(queue.last().request(), "too many requests wait");
        }
    }

    /** Only requests in state QUEUED are in the queue: one that has its response must never get another one. */
    private void removeFromQueue(ProxyRequest request) {
        if (request.state == ProxyRequest.RequestState.QUEUED) {
            queue.remove(new QueuedRequest(request.priority(), request.queueNumber, request));
        }
    }

    private void dispatchQueued() {
        for (QueuedRequest next = queue.isEmpty() ? null : queue.first(); next != null; next = queue.higher(next)) {
            dispatch(next.request());
        }
    }

    private void rejectQueued() {
        while (!queue.isEmpty()) {
            reject(queue.first().request(), "this process ends");
        }
    }

    private void onQueueTimeout(ProxyRequest request) {
        if (request.state == ProxyRequest.RequestState.QUEUED) {
            reject(request, "no checker has room");
        }
    }

    // ---- The end of an attempt, retries and hedged attempts ----------------------------------------

    private void onConnectTimeout(RequestAttempt attempt) {
        if (!attempt.hasEnded() && !attempt.isConnected()) {
            port.cancel(attempt);
        }
    }

    private void onAttemptTimeout(RequestAttempt attempt) {
        if (!attempt.hasEnded()) {
            port.cancel(attempt);
        }
    }

    private void onAttemptFinished(
            RequestAttempt attempt, ExecutionStatus execution, ProxyResponse.CheckerResponse response) {
        if (attempt.hasEnded()) {
            return;
        }
        attempt.markEnded();
        ProxyRequest request = attempt.request();
        request.pendingAttempts.remove(attempt);
        attempts.remove(attempt);
        updateCheckerStats(attempt, execution, response);
        request.mayHaveExecuted |= execution != ExecutionStatus.NOT_EXECUTED;
        if (execution == ExecutionStatus.NOT_EXECUTED && !attempt.isConnected()) {
            request.sentAttempts--;
            request.unreachedAttempts++;
        }
        if (request.state != ProxyRequest.RequestState.COMPLETED) {
            retryOrComplete(attempt, execution, response);
        } else if (request.abandoned) {
            refundIfNeverExecuted(request);
        }
        dispatchQueued();
    }

    private void updateCheckerStats(
            RequestAttempt attempt, ExecutionStatus execution, ProxyResponse.CheckerResponse response) {
        CheckerStats checker = attempt.checker();
        if (attempt.isCancelled() && response == null) {
            checker.onRequestCancelled(
                    now, silenceToleranceMicros(attempt.request().route()));
            return;
        }
        checker.onRequestEnded(now);
        if (execution == ExecutionStatus.EXECUTED) {
            String route = attempt.request().route().name();
            loadBalancer.onResponse(checker, route, now - attempt.startedAt(), now);
        } else if (response != null) {
            checker.onOverloaded(now);
            if (response.head().status() == MISDIRECTED_REQUEST) {
                checker.onAddressReassigned();
            }
        } else {
            checker.onFailure(now);
        }
    }

    private void retryOrComplete(
            RequestAttempt attempt, ExecutionStatus execution, ProxyResponse.CheckerResponse response) {
        ProxyRequest request = attempt.request();
        boolean executed = execution == ExecutionStatus.EXECUTED;
        if (executed && response.head().status() < FIRST_SERVER_ERROR_STATUS) {
            complete(request, response);
            return;
        } else if (!request.pendingAttempts.isEmpty()) {
            return; // a hedged attempt is still under way
        }
        boolean mayRetry = execution.isSafeToRetry() || request.route().idempotent();
        if (mayRetry
                && request.source().isReplayable()
                && now + MIN_RETRY_TIME_MICROS < request.deadline()
                && retry(attempt)) {
            return;
        }
        if (executed) {
            complete(request, response);
        } else if (!request.mayHaveExecuted) {
            reject(request, "no checker could take it");
        } else {
            completeLocally(request, BAD_GATEWAY, "a checker broke off");
        }
    }

    /** Sends a request to a further checker, if its attempts and the retry budget allow it. */
    private boolean retry(RequestAttempt failed) {
        ProxyRequest request = failed.request();
        boolean reachedChecker = failed.isConnected(); // only such a retry is a load for checkers and uses the budget
        boolean outOfAttempts = request.sentAttempts >= request.route().maxAttempts();
        if (reachedChecker && (outOfAttempts || !retryBudget.canAcquire(request.service, 0))
                || request.unreachedAttempts > MAX_UNREACHED_ATTEMPTS) {
            return false;
        }
        if (!dispatchAgain(request)) {
            return false;
        }
        if (reachedChecker) {
            retryBudget.tryAcquire(request.service);
        }
        return true;
    }

    /** Sends a hedged attempt to a second checker while the first one is awaited. */
    private void onHedgeDelayElapsed(ProxyRequest request) {
        if (request.state == ProxyRequest.RequestState.IN_FLIGHT
                && request.pendingAttempts.size() == 1
                // A body that is still coming in can be read once only, by the first attempt.
                && request.source().isFullyReceived()
                && request.sentAttempts < request.route().maxAttempts()
                && retryBudget.canAcquire(request.service, HEDGE_BUDGET_RESERVE)
                && now + MIN_RETRY_TIME_MICROS < request.deadline()
                && dispatchAgain(request)) {
            retryBudget.tryAcquire(request.service);
        }
    }

    // ---- The end of a request ----------------------------------------------------------------------

    private void onDeadlineExceeded(ProxyRequest request) {
        if (request.state == ProxyRequest.RequestState.QUEUED) {
            reject(request, "no checker has room");
        } else if (request.state == ProxyRequest.RequestState.IN_FLIGHT && request.neverReachedChecker()) {
            cancelPendingAttempts(request); // the last one's end rejects it
        } else if (request.state != ProxyRequest.RequestState.COMPLETED) {
            completeLocally(request, GATEWAY_TIMEOUT, "no answer in time");
            cancelIfBodyIncomplete(request);
        }
    }

    private void onClientDisconnected(ProxyRequest request) {
        if (request.state != ProxyRequest.RequestState.COMPLETED) {
            removeFromQueue(request);
            request.state = ProxyRequest.RequestState.COMPLETED;
            request.abandoned = true;
            attempts.onClientDisconnected(request, now);
            refundIfNeverExecuted(request);
        }
    }

    /** Gives its quota back to a request whose client has left, once it is certain that it was not executed. */
    private void refundIfNeverExecuted(ProxyRequest request) {
        if (request.neverExecuted() && !request.quotaRefunded) {
            request.quotaRefunded = true;
            port.refundQuota(request);
        }
    }

    /** At the deadline nobody will send the rest of an incomplete body; a whole request is ended by its checker. */
    private void cancelIfBodyIncomplete(ProxyRequest request) {
        if (!request.source().isFullyReceived()) {
            cancelPendingAttempts(request);
        }
    }

    private void cancelPendingAttempts(ProxyRequest request) {
        List.copyOf(request.pendingAttempts).forEach(port::cancel);
    }

    /** Ends a request without a checker's response: with 503 and its quota back, unless it may have been executed. */
    private void reject(ProxyRequest request, String reason) {
        if (request.mayHaveExecuted) {
            completeLocally(request, BAD_GATEWAY, reason);
            return;
        }
        port.refundQuota(request);
        long spread = (long) (random.nextDouble() * 2 * MIN_RETRY_AFTER_MICROS);
        complete(
                request, new ProxyResponse.LocalResponse(SERVICE_UNAVAILABLE, reason, MIN_RETRY_AFTER_MICROS + spread));
    }

    private void completeLocally(ProxyRequest request, int status, String text) {
        complete(request, new ProxyResponse.LocalResponse(status, text, NO_RETRY_AFTER));
    }

    private void complete(ProxyRequest request, ProxyResponse response) {
        removeFromQueue(request);
        request.state = ProxyRequest.RequestState.COMPLETED;
        port.respond(request, withoutFalsePromise(response));
    }

    /** Replaces a status that promises that a request was not executed, where the checker has not said so itself. */
    private static ProxyResponse withoutFalsePromise(ProxyResponse response) {
        if (response instanceof ProxyResponse.CheckerResponse checkerResponse && !checkerResponse.notExecuted()) {
            int status = checkerResponse.head().status();
            if (status == TOO_MANY_REQUESTS
                    || status == SERVICE_UNAVAILABLE
                    || status == REQUEST_TIMEOUT
                    || status == MISDIRECTED_REQUEST) {
                return new ProxyResponse.LocalResponse(BAD_GATEWAY, "a checker failed", NO_RETRY_AFTER);
            }
        }
        return response;
    }
}
