package reedmux.proxy.request;

import java.util.List;
import java.util.Random;
import reedmux.control.configuration.RouteItem;
import reedmux.proxy.loadbalancer.CheckerStats;
import reedmux.proxy.loadbalancer.LoadBalancer;
import reedmux.proxy.retry.RetryBudget;

/**
 * Controls the life cycle of each request: whether it is queued, which checker it is sent to, whether it is retried or
 * hedged, and which single response it gets.
 *
 * <p>Two invariants hold. A request that may have been executed is sent again only if its route is idempotent. A status
 * that implies that the request was not executed is returned only if this is certain. A checker that rejects a request
 * or could not be reached counts as not having executed it; a checker that aborts without a complete response counts as
 * possibly having executed it.
 *
 * <p>Deterministic: receives events with the current time in microseconds and calls its {@link RequestPort}. Not
 * thread-safe.
 */
public final class RequestTracker {
    private static final long MICROS_PER_MILLI = 1000;
    /** Time limit for establishing a connection. If it expires, the machine is down and does not answer any packets. */
    private static final long CONNECT_TIMEOUT_MICROS = 300 * MICROS_PER_MILLI;
    /**
     * Grace period after the deadline of a request. A checker ends a request at its deadline, so an attempt that has
     * not ended after this period will not end by itself.
     */
    private static final long ATTEMPT_GRACE_MICROS = 400 * MICROS_PER_MILLI;
    /**
     * A request is not retried any more once more than this number of its attempts have failed to reach a checker. Such
     * attempts put no load on checkers, but each takes time.
     */
    private static final int MAX_UNREACHED_ATTEMPTS = 4;

    private static final int MAX_QUEUED_REQUESTS = 256;
    /** Minimum time left until the deadline for which a request is sent again. */
    private static final long MIN_RETRY_TIME_MICROS = 20 * MICROS_PER_MILLI;
    /**
     * Maximum time in the queue, as a fraction of the route's latency target. The rest of the target is reserved for
     * the execution.
     */
    private static final double QUEUE_TIME_TARGET_FRACTION = 0.2;
    /**
     * Delay of a hedged attempt, as a fraction of the route's latency target. A smaller value consumes more of the
     * retry budget; a larger value makes the response more likely to miss the target.
     */
    private static final double HEDGE_DELAY_TARGET_FRACTION = 0.55;
    /** Tokens that a hedged attempt must leave in the retry budget for the retries of failed requests. */
    private static final double HEDGE_BUDGET_RESERVE = 1;
    /** The Retry-After of rejected requests is chosen at random between one and three times this value. */
    private static final long MIN_RETRY_AFTER_MICROS = 120 * MICROS_PER_MILLI;
    /**
     * Silence after which a checker with requests in flight is suspect, as a multiple of the route's mean latency. The
     * lower bound is {@link #MIN_SILENCE_TOLERANCE_MICROS}.
     */
    private static final int SILENCE_TOLERANCE_LATENCIES = 5;

    private static final long MIN_SILENCE_TOLERANCE_MICROS = 400 * MICROS_PER_MILLI;
    /** Mean latency assumed for a route without responses so far. */
    private static final long DEFAULT_LATENCY_MICROS = 100 * MICROS_PER_MILLI;

    private static final long NO_RETRY_AFTER = -1;
    private static final String PROCESS_ENDS = "this process ends";

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
    /** Time of the event that is being handled. */
    private long now;

    /** Whether the process is about to end, so that no request is sent any more. */
    private boolean shutDown;

    private final RequestQueue queue = new RequestQueue();

    /** Creates a tracker without requests; {@code seed} initializes the generator of its random choices. */
    public RequestTracker(RequestPort port, LoadBalancer loadBalancer, RetryBudget retryBudget, long seed) {
        this.port = port;
        this.loadBalancer = loadBalancer;
        this.retryBudget = retryBudget;
        attempts = new PendingAttempts(port);
        random = new Random(seed);
    }

    /** Returns the attempts that have not ended. */
    public PendingAttempts attempts() {
        return attempts;
    }

    /** Handles one event; {@code time} is in microseconds and must never decrease. */
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
            onShutdown();
        } else {
            dispatchQueued();
        }
    }

    // ---- From admission to an attempt --------------------------------------------------------------

    private void onRequestAccepted(ProxyRequest request) {
        request.service = chooseService(request.route());
        schedule(request, request.deadline(), new RequestEvent.DeadlineExceeded(request));
        if (!dispatch(request)) {
            enqueue(request);
        }
    }

    /**
     * Chooses a service at random by the weights of a route, among the services with an available checker, or among all
     * services if none has one.
     */
    private String chooseService(RouteItem route) {
        List<RouteItem.WeightedService> services = route.services();
        boolean anyAvailable = services.stream()
                .anyMatch(service -> service.weight() > 0 && loadBalancer.hasAvailableChecker(service.service()));
        double totalWeight = 0;
        for (RouteItem.WeightedService service : services) {
            totalWeight += !anyAvailable || loadBalancer.hasAvailableChecker(service.service()) ? service.weight() : 0;
        }
        double remainingWeight = random.nextDouble() * totalWeight;
        String chosen = services.get(0).service();
        for (RouteItem.WeightedService service : services) {
            if (service.weight() > 0 && (!anyAvailable || loadBalancer.hasAvailableChecker(service.service()))) {
                chosen = service.service();
                remainingWeight -= service.weight();
                if (remainingWeight < 0) {
                    break;
                }
            }
        }
        return chosen;
    }

    /** Sends a request for the first time if a checker can take it; returns whether it was sent. */
    private boolean dispatch(ProxyRequest request) {
        CheckerStats checker = chooseChecker(request);
        if (checker == null) {
            return false;
        }
        queue.remove(request);
        request.state = ProxyRequest.RequestState.IN_FLIGHT;
        retryBudget.onFirstAttempt(request.service);
        RouteItem route = request.route();
        if (route.idempotent() && route.maxAttempts() > 1) {
            long hedgeAt = now + (long) (HEDGE_DELAY_TARGET_FRACTION * route.latencyTargetMicros());
            schedule(request, hedgeAt, new RequestEvent.HedgeDelayElapsed(request));
        }
        startAttempt(request, checker);
        return true;
    }

    /** Sends a request to a further checker if one can take it; returns whether it was sent. */
    private boolean dispatchAgain(ProxyRequest request) {
        CheckerStats checker = chooseChecker(request);
        if (checker == null) {
            return false;
        }
        queue.remove(request);
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
        schedule(attempt, now + CONNECT_TIMEOUT_MICROS, new RequestEvent.ConnectTimeout(attempt));
        schedule(attempt, request.deadline() + ATTEMPT_GRACE_MICROS, new RequestEvent.AttemptTimeout(attempt));
        port.send(attempt);
    }

    /** Schedules an event that is cancelled when the request is completed, so that it does not retain the request. */
    private void schedule(ProxyRequest request, long time, RequestEvent event) {
        request.addScheduledEvent(port.schedule(time, event));
    }

    /** Schedules an event that is cancelled when the attempt ends, so that it does not retain the request. */
    private void schedule(RequestAttempt attempt, long time, RequestEvent event) {
        attempt.addScheduledEvent(port.schedule(time, event));
    }

    // ---- The queue ---------------------------------------------------------------------------------

    private void enqueue(ProxyRequest request) {
        queue.add(request);
        long timeoutAt =
                now + (long) (QUEUE_TIME_TARGET_FRACTION * request.route().latencyTargetMicros());
        schedule(request, timeoutAt, new RequestEvent.QueueTimeout(request));
        if (queue.size() > MAX_QUEUED_REQUESTS) {
            reject(queue.last(), "too many requests wait");
        }
    }

    private void dispatchQueued() {
        for (ProxyRequest next = queue.first(); next != null; next = queue.after(next)) {
            dispatch(next);
        }
    }

    /** Completes all requests, because their responses could not be sent any more. */
    private void onShutdown() {
        shutDown = true;
        while (!queue.isEmpty()) {
            reject(queue.first(), PROCESS_ENDS);
        }
        attempts.requests().forEach(this::completeAtShutdown);
    }

    private void completeAtShutdown(ProxyRequest request) {
        if (request.state == ProxyRequest.RequestState.COMPLETED) {
            return;
        } else if (request.neverReachedChecker()) {
            cancelPendingAttempts(request); // the request is rejected when its last attempt ends
        } else {
            completeLocally(request, GATEWAY_TIMEOUT, PROCESS_ENDS);
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
        request.releaseIfUnused();
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
            return; // another attempt is still in flight
        }
        boolean mayRetry = execution.isSafeToRetry() || request.route().idempotent();
        if (mayRetry
                && !shutDown
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

    /** Sends a request to a further checker if its maximum number of attempts and the retry budget permit it. */
    private boolean retry(RequestAttempt failed) {
        ProxyRequest request = failed.request();
        // A retry uses the budget only if the failed attempt reached its checker and so added load.
        boolean reachedChecker = failed.isConnected();
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

    /** Sends a hedged attempt to a second checker while the first attempt is still pending. */
    private void onHedgeDelayElapsed(ProxyRequest request) {
        if (request.state == ProxyRequest.RequestState.IN_FLIGHT
                && request.pendingAttempts.size() == 1
                // A body that was sent while it was being received can be read only once, by the first attempt.
                && request.source().isReplayable()
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
            cancelPendingAttempts(request); // the request is rejected when its last attempt ends
        } else if (request.state != ProxyRequest.RequestState.COMPLETED) {
            completeLocally(request, GATEWAY_TIMEOUT, "no answer in time");
            cancelIfBodyIncomplete(request);
        }
    }

    private void onClientDisconnected(ProxyRequest request) {
        if (request.state != ProxyRequest.RequestState.COMPLETED) {
            queue.remove(request);
            request.markCompleted();
            request.abandoned = true;
            attempts.onClientDisconnected(request, now);
            request.releaseIfUnused();
            refundIfNeverExecuted(request);
        }
    }

    /** Refunds the quota of a request whose client has disconnected, once it is certain that it was not executed. */
    private void refundIfNeverExecuted(ProxyRequest request) {
        if (request.neverExecuted() && !request.quotaRefunded) {
            request.quotaRefunded = true;
            port.refundQuota(request);
        }
    }

    /**
     * Cancels the attempts of a request whose body is incomplete at its deadline, because the rest of the body will not
     * be sent. A request that was received completely is ended by its checker.
     */
    private void cancelIfBodyIncomplete(ProxyRequest request) {
        if (!request.source().isFullyReceived()) {
            cancelPendingAttempts(request);
        }
    }

    private void cancelPendingAttempts(ProxyRequest request) {
        List.copyOf(request.pendingAttempts).forEach(port::cancel);
    }

    /**
     * Completes a request without a checker's response. The status is 503 and the quota is refunded, unless the request
     * may have been executed, in which case the status is 502.
     */
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
        queue.remove(request);
        request.markCompleted();
        port.respond(request, replaceUnconfirmedRejection(response));
        request.releaseIfUnused();
    }

    /**
     * Replaces a checker's response by 502 if its status implies that the request was not executed, but the checker did
     * not report so explicitly.
     */
    private static ProxyResponse replaceUnconfirmedRejection(ProxyResponse response) {
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
