package reedmux.proxy.request;

import static org.testng.Assert.assertFalse;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import reedmux.common.http1.BodyBuffer;
import reedmux.common.http1.Http1Head;
import reedmux.control.configuration.RouteItem;
import reedmux.control.instances.InstanceIncarnation;
import reedmux.proxy.loadbalancer.LoadBalancer;
import reedmux.proxy.retry.RetryBudget;

/** A tracker with a simulated clock, which records the tracker's actions. */
final class TrackerHarness implements RequestPort {
    private static final long MICROS_PER_MILLI = 1000;

    /** An event that the tracker has scheduled; {@code number} orders events of the same time. */
    private record TimedEvent(long time, int number, RequestEvent event) {}

    final LoadBalancer loadBalancer = new LoadBalancer("me", "here", 1);
    final RetryBudget budget;
    final RequestTracker tracker;
    final List<RequestAttempt> sent = new ArrayList<>();
    final List<ProxyResponse> responses = new ArrayList<>();
    final List<ProxyRequest> completed = new ArrayList<>();
    final PriorityQueue<TimedEvent> scheduled = new PriorityQueue<>((left, right) ->
            left.time() != right.time() ? Long.compare(left.time(), right.time()) : left.number() - right.number());
    private int scheduledCount;
    int quotaRefunds;
    int released;
    boolean fullyReceived = true;
    int priority = 1;
    long now = 1_000_000;

    TrackerHarness(int checkers, double slack) {
        budget = new RetryBudget(0.2, slack, false);
        for (int i = 0; i < checkers; i++) {
            loadBalancer.onIncarnationUpdate(
                    new InstanceIncarnation(
                            "c" + i,
                            "desk",
                            "10.0.0." + (i + 1) + ":80",
                            "here",
                            3,
                            InstanceIncarnation.READY,
                            1,
                            0,
                            false),
                    now);
        }
        tracker = new RequestTracker(this, loadBalancer, budget, 1);
    }

    ProxyRequest accept(boolean idempotent, int attempts) {
        return accept(idempotent, attempts, 1500);
    }

    ProxyRequest accept(boolean idempotent, int attempts, long millis) {
        RouteItem route = new RouteItem(
                "r",
                "h",
                "/",
                idempotent,
                2000 * MICROS_PER_MILLI,
                400 * MICROS_PER_MILLI,
                priority,
                List.of(new RouteItem.WeightedService("desk", 1)),
                attempts,
                true);
        ProxyRequest request = new ProxyRequest(
                route,
                null,
                new ProxyRequest.RequestSource() {
                    @Override
                    public boolean isReplayable() {
                        return true;
                    }

                    @Override
                    public boolean isLarge() {
                        return false;
                    }

                    @Override
                    public boolean isFullyReceived() {
                        return fullyReceived;
                    }

                    @Override
                    public void release() {
                        released++;
                    }

                    @Override
                    public Object connection() {
                        return TrackerHarness.this;
                    }
                },
                now + millis * MICROS_PER_MILLI);
        tracker.onEvent(now, new RequestEvent.RequestAccepted(request));
        return request;
    }

    /**
     * Ends an attempt.
     *
     * @param outcome "unreached": not connected; "shed" or "moved": rejected by the checker with 503 or 421; "half
     *                sent" or "broken": aborted without a response; "failed": response with 500; any other value:
     *                response with 200
     */
    void endAttempt(RequestAttempt attempt, String outcome) {
        if (!outcome.equals("unreached")) {
            attempt.onConnected();
        }
        ExecutionStatus execution =
                switch (outcome) {
                    case "unreached", "shed", "moved" -> ExecutionStatus.NOT_EXECUTED;
                    case "half sent", "broken" -> ExecutionStatus.MAY_HAVE_EXECUTED;
                    default -> ExecutionStatus.EXECUTED;
                };
        int status =
                switch (outcome) {
                    case "shed" -> 503;
                    case "moved" -> 421;
                    case "failed" -> 500;
                    default -> 200;
                };
        boolean noResponse = outcome.equals("unreached") || outcome.equals("half sent") || outcome.equals("broken");
        tracker.onEvent(
                now,
                new RequestEvent.AttemptFinished(
                        attempt,
                        execution,
                        noResponse
                                ? null
                                : new ProxyResponse.CheckerResponse(
                                        Http1Head.response(status),
                                        new BodyBuffer(),
                                        execution == ExecutionStatus.NOT_EXECUTED)));
    }

    void runUntil(long until) {
        while (!scheduled.isEmpty() && scheduled.peek().time() <= until) {
            TimedEvent next = scheduled.poll();
            now = Math.max(now, next.time());
            tracker.onEvent(now, next.event());
        }
        now = until;
    }

    @Override
    public void send(RequestAttempt attempt) {
        sent.add(attempt);
    }

    @Override
    public void cancel(RequestAttempt attempt) {
        tracker.onEvent(
                now,
                new RequestEvent.AttemptFinished(
                        attempt,
                        attempt.isConnected() && fullyReceived
                                ? ExecutionStatus.MAY_HAVE_EXECUTED
                                : ExecutionStatus.NOT_EXECUTED,
                        null));
    }

    @Override
    public void respond(ProxyRequest request, ProxyResponse response) {
        responses.add(response);
        assertFalse(completed.contains(request), "a request must have only one response");
        completed.add(request);
    }

    @Override
    public void refundQuota(ProxyRequest request) {
        quotaRefunds++;
    }

    @Override
    public ScheduledEvent schedule(long time, RequestEvent event) {
        TimedEvent added = new TimedEvent(time, scheduledCount++, event);
        scheduled.add(added);
        return () -> scheduled.remove(added);
    }
}
