package reedmux.proxy.request;

import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import reedmux.control.configuration.RouteItem;
import reedmux.proxy.loadbalancer.CheckerStats;
import reedmux.proxy.loadbalancer.LoadBalancer;
import reedmux.proxy.retry.RetryBudget;

/**
 * The one place where a request's state changes: it waits for a checker, is sent to one, perhaps to a
 * further one, and has one final answer. Pure: what is to be done is told to {@link RequestPort}, at once.
 */
public final class RequestTracker {
    private static final long MICROS_PER_MILLI = 1000;
    /** A connection that is not up by then has met a machine that is not there. */
    private static final long CONNECT_TIMEOUT_MICROS = 300 * MICROS_PER_MILLI;
    /** A checker ends a request at the time that it was told; who says nothing by then will never. */
    private static final long ATTEMPT_GRACE_MICROS = 400 * MICROS_PER_MILLI;

    private static final int MAX_UNREACHED_ATTEMPTS = 4;
    private static final int MAX_QUEUED_REQUESTS = 256;
    /** Less than this before its end a request is not sent again. */
    private static final long MIN_RETRY_TIME_MICROS = 20 * MICROS_PER_MILLI;
    /** Of its aim, how long a request may wait for a checker, and when a repeatable one is slow. */
    private static final double QUEUE_TIME_TARGET_FRACTION = 0.2;

    private static final double HEDGE_DELAY_TARGET_FRACTION = 0.55;
    private static final long MIN_RETRY_AFTER_MICROS = 120 * MICROS_PER_MILLI;
    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    /** What is to be done. */
    public interface RequestPort {

        /** Sends; ends as {@link RequestEvent.AttemptFinished}. */
        void send(RequestAttempt what);

        /** Closes the connection of a sending, whatever has become of it; the end comes as an event. */
        void cancel(RequestAttempt what);

        void respond(ProxyRequest exchange, ProxyResponse answer);

        /** The request is over and was never run: what was counted for it is free. */
        void refundQuota(ProxyRequest exchange);

        /** Comes back with an event at a time. */
        void schedule(long at, RequestEvent event);
    }

    private final RequestPort port;
    private final LoadBalancer loadBalancer;
    private final RetryBudget retryBudget;
    private final Random random;
    private long now;
    private long lastQueueNumber;
    private final TreeSet<QueuedRequest> queue = new TreeSet<>((one, other) -> one.priority != other.priority
            ? Integer.compare(one.priority, other.priority)
            : Long.compare(one.number, other.number));

    private record QueuedRequest(int priority, long number, ProxyRequest request) {}

    public RequestTracker(RequestPort effects, LoadBalancer roster, RetryBudget budget, long seed) {
        this.port = effects;
        this.loadBalancer = roster;
        this.retryBudget = budget;
        random = new Random(seed);
    }

    /** Takes in one event. */
    public void onEvent(long time, RequestEvent event) {
        now = time;
        if (event instanceof RequestEvent.RequestAccepted taken) {
            onRequestAccepted(taken.request());
        } else if (event instanceof RequestEvent.AttemptFinished ended) {
            onAttemptEnded(ended.attempt(), ended.execution(), ended.response());
        } else if (event instanceof RequestEvent.ConnectTimeout overdue) {
            if (!overdue.attempt().hasEnded() && !overdue.attempt().isConnected()) {
                port.cancel(overdue.attempt());
            }
        } else if (event instanceof RequestEvent.AttemptTimeout overdue) {
            if (!overdue.attempt().hasEnded()) {
                port.cancel(overdue.attempt());
            }
        } else if (event instanceof RequestEvent.HedgeDelayElapsed slow) {
            onHedgeDelayElapsed(slow.request());
        } else if (event instanceof RequestEvent.QueueTimeout over) {
            if (over.request().state == ProxyRequest.RequestState.QUEUED) {
                reject(over.request(), "no checker has room");
            }
        } else if (event instanceof RequestEvent.DeadlineExceeded passed) {
            onDeadlineExceeded(passed.request());
        } else if (event instanceof RequestEvent.ClientDisconnected left) {
            onClientDisconnected(left.request());
        } else if (event instanceof RequestEvent.ProxyShutdown) {
            while (!queue.isEmpty()) {
                reject(queue.first().request(), "this process ends");
            }
        } else {
            dispatchQueued();
        }
    }

    private void onRequestAccepted(ProxyRequest exchange) {
        exchange.plant = choosePlant(exchange.route());
        port.schedule(exchange.deadline(), new RequestEvent.DeadlineExceeded(exchange));
        if (!dispatch(exchange, false)) {
            enqueue(exchange);
        }
    }

    /** Draws a service by the gains of a route's split, of those that have checkers at all. */
    private String choosePlant(RouteItem route) {
        List<RouteItem.WeightedService> parts = route.services();
        double sum = 0;
        boolean any =
                parts.stream().anyMatch(part -> part.weight() > 0 && loadBalancer.hasAvailableChecker(part.service()));
        for (RouteItem.WeightedService part : parts) {
            sum += !any || loadBalancer.hasAvailableChecker(part.service()) ? part.weight() : 0;
        }
        double drawn = random.nextDouble() * sum;
        String last = parts.get(0).service();
        for (RouteItem.WeightedService part : parts) {
            if (part.weight() > 0 && (!any || loadBalancer.hasAvailableChecker(part.service()))) {
                last = part.service();
                drawn -= part.weight();
                if (drawn < 0) {
                    break;
                }
            }
        }
        return last;
    }

    private long silenceToleranceMicros(RouteItem route) {
        return (long) Math.max(
                400 * MICROS_PER_MILLI, 5 * loadBalancer.meanLatencyMicros(route.name(), 100 * MICROS_PER_MILLI));
    }

    /** Sends a request to a checker if one can take it; {@code further}: it was sent before. */
    private boolean dispatch(ProxyRequest exchange, boolean further) {
        CheckerStats checker = loadBalancer.choose(
                exchange.plant,
                exchange.triedCheckers,
                exchange.source().isLarge(),
                silenceToleranceMicros(exchange.route()),
                now);
        if (checker == null) {
            return false;
        }
        removeFromQueue(exchange);
        exchange.state = ProxyRequest.RequestState.IN_FLIGHT;
        exchange.triedCheckers.add(checker.id());
        if (!further) {
            retryBudget.onFirstAttempt(exchange.plant);
            if (exchange.route().idempotent() && exchange.route().maxAttempts() > 1) {
                port.schedule(
                        now
                                + (long) (HEDGE_DELAY_TARGET_FRACTION
                                        * exchange.route().latencyTargetMicros()),
                        new RequestEvent.HedgeDelayElapsed(exchange));
            }
        }
        RequestAttempt made = new RequestAttempt(exchange, checker, now);
        exchange.pendingAttempts.add(made);
        exchange.sentAttempts++;
        checker.onRequestStarted(now);
        port.schedule(now + CONNECT_TIMEOUT_MICROS, new RequestEvent.ConnectTimeout(made));
        port.schedule(exchange.deadline() + ATTEMPT_GRACE_MICROS, new RequestEvent.AttemptTimeout(made));
        port.send(made);
        return true;
    }

    private void enqueue(ProxyRequest exchange) {
        exchange.state = ProxyRequest.RequestState.QUEUED;
        exchange.queueNumber = ++lastQueueNumber;
        queue.add(new QueuedRequest(exchange.priority(), exchange.queueNumber, exchange));
        port.schedule(
                now + (long) (QUEUE_TIME_TARGET_FRACTION * exchange.route().latencyTargetMicros()),
                new RequestEvent.QueueTimeout(exchange));
        if (queue.size() > MAX_QUEUED_REQUESTS) {
            reject(queue.last().request(), "too many requests wait");
        }
    }

    /** Only who waits is in the queue: an answer to who has had one would be another request's. */
    private void removeFromQueue(ProxyRequest exchange) {
        if (exchange.state == ProxyRequest.RequestState.QUEUED) {
            queue.remove(new QueuedRequest(exchange.priority(), exchange.queueNumber, exchange));
        }
    }

    private void dispatchQueued() {
        for (QueuedRequest next = queue.isEmpty() ? null : queue.first(); next != null; next = queue.higher(next)) {
            ProxyRequest exchange = next.request();
            dispatch(exchange, exchange.sentAttempts + exchange.unreachedAttempts > 0);
        }
    }

    private void onAttemptEnded(RequestAttempt what, ExecutionStatus verdict, ProxyResponse.CheckerResponse answer) {
        if (what.hasEnded()) {
            return;
        }
        what.markEnded();
        ProxyRequest exchange = what.request();
        CheckerStats checker = what.checker();
        exchange.pendingAttempts.remove(what);
        checker.onRequestEnded(now);
        if (verdict == ExecutionStatus.EXECUTED) {
            loadBalancer.onResponse(checker, exchange.route().name(), now - what.startedAt(), now);
        } else if (answer != null) {
            checker.onOverloaded(now);
            if (answer.head().status() == 421) {
                checker.onAddressReassigned();
            }
        } else {
            checker.onFailure(now);
        }
        exchange.mayHaveExecuted |= verdict != ExecutionStatus.NOT_EXECUTED;
        if (verdict == ExecutionStatus.NOT_EXECUTED) {
            exchange.sentAttempts -= what.isConnected() ? 0 : 1;
            exchange.unreachedAttempts += what.isConnected() ? 0 : 1;
        }
        if (exchange.state != ProxyRequest.RequestState.COMPLETED) {
            retryOrComplete(exchange, what, verdict, answer);
        }
        dispatchQueued();
    }

    private void retryOrComplete(
            ProxyRequest exchange, RequestAttempt what, ExecutionStatus verdict, ProxyResponse.CheckerResponse answer) {
        boolean failed = verdict != ExecutionStatus.EXECUTED || answer.head().status() >= FIRST_SERVER_ERROR_STATUS;
        if (!failed) {
            complete(exchange, answer);
            return;
        } else if (!exchange.pendingAttempts.isEmpty()) {
            return; // another one is still under way
        }
        boolean may = verdict.isSafeToRetry() || exchange.route().idempotent();
        if (may
                && exchange.source().isReplayable()
                && now + MIN_RETRY_TIME_MICROS < exchange.deadline()
                && retry(exchange, what)) {
            return;
        }
        if (verdict == ExecutionStatus.EXECUTED) {
            complete(exchange, answer);
        } else if (!exchange.mayHaveExecuted) {
            reject(exchange, "no checker could take it");
        } else {
            complete(exchange, new ProxyResponse.LocalResponse(502, "a checker broke off", -1));
        }
    }

    /** Sends a request to a further checker, where it may be. */
    private boolean retry(ProxyRequest exchange, RequestAttempt last) {
        boolean arrived = last.isConnected();
        if (arrived
                        && (exchange.sentAttempts >= exchange.route().maxAttempts()
                                || !retryBudget.canAcquire(exchange.plant, 0))
                || exchange.unreachedAttempts > MAX_UNREACHED_ATTEMPTS) {
            return false;
        }
        if (!dispatch(exchange, true)) {
            return false;
        }
        if (arrived) {
            retryBudget.tryAcquire(exchange.plant);
        }
        return true;
    }

    /** A copy at a second checker, while the first one is awaited. */
    private void onHedgeDelayElapsed(ProxyRequest exchange) {
        if (exchange.state == ProxyRequest.RequestState.IN_FLIGHT
                && exchange.pendingAttempts.size() == 1
                && exchange.source().isFullyReceived()
                && exchange.sentAttempts < exchange.route().maxAttempts()
                && retryBudget.canAcquire(exchange.plant, 1)
                && now + MIN_RETRY_TIME_MICROS < exchange.deadline()
                && dispatch(exchange, true)) {
            retryBudget.tryAcquire(exchange.plant);
        }
    }

    private void onDeadlineExceeded(ProxyRequest exchange) {
        if (exchange.state == ProxyRequest.RequestState.QUEUED) {
            reject(exchange, "no checker has room");
        } else if (exchange.state == ProxyRequest.RequestState.IN_FLIGHT && exchange.neverReachedChecker()) {
            List.copyOf(exchange.pendingAttempts).forEach(port::cancel); // refused as that is over
        } else if (exchange.state != ProxyRequest.RequestState.COMPLETED) {
            complete(exchange, new ProxyResponse.LocalResponse(504, "no answer in time", -1));
            cancelIfBodyIncomplete(exchange);
        }
    }

    /** What its client has not sent whole never runs, and nobody will send the rest. */
    private void cancelIfBodyIncomplete(ProxyRequest exchange) {
        if (!exchange.source().isFullyReceived()) {
            List.copyOf(exchange.pendingAttempts).forEach(port::cancel);
        }
    }

    private void onClientDisconnected(ProxyRequest exchange) {
        if (exchange.state != ProxyRequest.RequestState.COMPLETED) {
            boolean free = exchange.neverExecuted();
            removeFromQueue(exchange);
            exchange.state = ProxyRequest.RequestState.COMPLETED;
            if (free) {
                port.refundQuota(exchange);
            }
            cancelIfBodyIncomplete(exchange);
        }
    }

    private void reject(ProxyRequest exchange, String why) {
        if (exchange.mayHaveExecuted) {
            complete(exchange, new ProxyResponse.LocalResponse(502, why, -1));
            return;
        }
        port.refundQuota(exchange);
        complete(
                exchange,
                new ProxyResponse.LocalResponse(
                        503, why, MIN_RETRY_AFTER_MICROS + (long) (random.nextDouble() * 2 * MIN_RETRY_AFTER_MICROS)));
    }

    private void complete(ProxyRequest exchange, ProxyResponse answer) {
        removeFromQueue(exchange);
        exchange.state = ProxyRequest.RequestState.COMPLETED;
        port.respond(exchange, withoutFalsePromise(answer));
    }

    /** A status that promises that a request was not run is passed on only where the checker has said so. */
    private static ProxyResponse withoutFalsePromise(ProxyResponse answer) {
        if (answer instanceof ProxyResponse.CheckerResponse told && !told.notExecuted()) {
            int status = told.head().status();
            if (status == 429 || status == 503 || status == 408 || status == 421) {
                return new ProxyResponse.LocalResponse(502, "a checker failed", -1);
            }
        }
        return answer;
    }
}
