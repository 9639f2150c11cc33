package reedmux.gatekeeper.policy;

import java.util.List;

/**
 * The decisions of one gateway in front of a shared pool of servers: the events that it receives, and the actions that
 * it may take. Times are microseconds of one monotonic clock. An implementation knows no time but {@code now}, performs
 * no I/O and is used by one thread. Units are the quantity that requests consume of their customers' quotas.
 */
public interface TrafficPolicy {

    /** Handles one event that occurred at {@code now}; the resulting actions are taken before it returns. */
    void handle(long now, PolicyEvent event, PolicyActions actions);

    /** The effect of a repeat: none, none within its scope and window, or the same effect again. */
    enum Idempotency {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** The servers that recognise repeats of a keyed request: all of them, or those of the same zone or cell. */
    enum DeduplicationScope {
        ALL,
        ZONE,
        CELL
    }

    /** How an attempt ended. */
    enum AttemptOutcome {
        OK(false),
        ERROR(false),
        OVERLOADED(true),
        TIMEOUT(false),
        CONNECT_FAILED(true),
        RESET(false),
        CANCELLED(false),
        NOT_SENT(true);

        private final boolean neverRan;

        AttemptOutcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** Whether this outcome proves that the server never ran the request. */
        public boolean neverRan() {
            return neverRan;
        }
    }

    /**
     * The content of a server list: changes, all servers, all servers as last known, or nothing because the call
     * failed.
     */
    enum ServerListScope {
        CHANGES,
        FULL,
        CACHED,
        FAILED
    }

    /** A listed server's state. */
    enum ServerStatus {
        READY,
        DRAINING,
        GONE
    }

    /**
     * A class of requests.
     *
     * @param deduplicationWindow how long servers recognise a repeat of a keyed request, in microseconds
     * @param latencyTarget       time from arrival within which a request should be answered
     * @param deadline            time from arrival within which a request must be answered
     * @param value               value of an answer within the latency target, relative to other classes
     * @param lateValue           value of an answer after the latency target
     * @param streaming           whether responses are streams
     */
    record RequestClass(
            String name,
            Idempotency idempotency,
            DeduplicationScope deduplicationScope,
            long deduplicationWindow,
            long latencyTarget,
            long deadline,
            double value,
            double lateValue,
            boolean streaming) {}

    /**
     * The limits of a plan, for each of its customers; 0 means unlimited.
     *
     * @param quotaRate       units per second, which races between gateways may exceed
     * @param quotaBurst      maximum units of the quota at once
     * @param maxConcurrency  maximum attempts in flight
     * @param rateLimit       units per second that are never exceeded
     * @param rateLimitBurst  maximum units of the rate limit at once
     * @param rateLimitSlack  units by which the rate limit may be exceeded
     * @param price           price of a unit, relative to other plans
     * @param overQuotaRevenue revenue of a unit beyond the quota
     * @param overQuotaCost   cost of a unit beyond the quota
     */
    record CustomerPlan(
            String name,
            double quotaRate,
            double quotaBurst,
            int maxConcurrency,
            double rateLimit,
            double rateLimitBurst,
            double rateLimitSlack,
            double price,
            double overQuotaRevenue,
            double overQuotaCost) {}

    /**
     * The platform's rules.
     *
     * @param deadlineSlack        how late an answer may be
     * @param discoveryQueryWindow period in which discovery may be queried once
     * @param coldCapacityShare    share of its capacity that a server has when it starts
     * @param warmUpTime           time until a started server has its full capacity
     * @param drainGrace           how long a draining server may still be sent requests
     * @param coldOverloadMultiple multiple of its capacity that a cold server must never be sent within the window
     * @param coldOverloadWindow   window of {@code coldOverloadMultiple}
     */
    record PlatformRules(
            long deadlineSlack,
            long discoveryQueryWindow,
            double coldCapacityShare,
            long warmUpTime,
            long drainGrace,
            double coldOverloadMultiple,
            long coldOverloadWindow) {}

    /**
     * The capabilities and limits of the deployment.
     *
     * @param cancellation          whether attempts may be cancelled
     * @param hedging               whether two attempts of a request may be in flight at once
     * @param healthChecks          whether health checks of servers are allowed
     * @param peerMessages          whether gateways may send each other messages
     * @param counterService        whether a counter service is available
     * @param maxAttempts           maximum attempts of one request
     * @param maxRetryAfter         maximum retry-after of a rejection
     * @param peerMessagesPerSecond maximum messages per second that a gateway receives
     * @param peerMessageBytes      maximum size of one message
     */
    record DeploymentLimits(
            boolean cancellation,
            boolean hedging,
            boolean healthChecks,
            boolean peerMessages,
            boolean counterService,
            int maxAttempts,
            long maxRetryAfter,
            double peerMessagesPerSecond,
            int peerMessageBytes,
            long counterTimeout) {}

    /**
     * The settings of one gateway.
     *
     * @param self             the gateway's number in its group
     * @param groupSize        number of gateways in the group
     * @param pollsDiscovery   whether the gateway must query the list of servers
     * @param chargeOnDelivery whether a request is charged only once an attempt has delivered it to a server as a
     *                         whole, and not when it is first sent
     * @param maxUnits         maximum units of one request
     * @param clockTick        the resolution of the clock
     */
    record PolicySettings(
            int self,
            int groupSize,
            int zone,
            boolean pollsDiscovery,
            boolean chargeOnDelivery,
            double maxUnits,
            long clockTick,
            List<RequestClass> classes,
            List<CustomerPlan> plans,
            PlatformRules rules,
            DeploymentLimits limits) {}

    /**
     * One server in the list.
     *
     * @param cell      cell within the zone
     * @param startedAt start time of its process; 0 if that was long ago
     */
    record ListedServer(String id, int zone, int kind, int cell, ServerStatus status, double weight, long startedAt) {}

    /** An event that the gateway is notified of. */
    sealed interface PolicyEvent {}

    /** The list of servers, or changes to it. */
    record ServerList(ServerListScope scope, List<ListedServer> servers) implements PolicyEvent {}

    /**
     * In place of a plan: a request that another region forwards and has already charged; no customer is charged here.
     */
    int REMOTE_REQUEST_PLAN = -1;

    /**
     * A client's request, to which the gateway must give one final answer.
     *
     * @param requestClass number of the class in the settings
     * @param plan         number of the plan in the settings, or {@link #REMOTE_REQUEST_PLAN}
     * @param deadline     time by which it must be answered
     * @param units        units that it is expected to consume
     * @param memberCount  number of the customer's gateways, which are consecutive
     * @param firstMember  the number of the first of them
     * @param clientRetry  whether the client has sent it before
     */
    record IncomingRequest(
            String id,
            int requestClass,
            int plan,
            long customer,
            long deadline,
            double units,
            int memberCount,
            int firstMember,
            boolean clientRetry)
            implements PolicyEvent {}

    /** A timer that the gateway has set has expired. */
    record TimerExpired(long token) implements PolicyEvent {}

    /**
     * An attempt has ended.
     *
     * @param requestOver whether this attempt gave the request its final answer
     * @param attempt     the number of the attempt, from 0
     * @param actualUnits units that the request has consumed; 0 if unknown
     */
    record AttemptEnded(
            String request,
            boolean requestOver,
            String server,
            int attempt,
            double actualUnits,
            long elapsed,
            AttemptOutcome outcome)
            implements PolicyEvent {}

    /** The response to an attempt has begun to arrive and is passed on; the attempt can no longer time out. */
    record ResponseStreamStarted(String request, String server, int attempt, long elapsed) implements PolicyEvent {}

    /** The body of a request, which is passed on as it arrives, is still incomplete or is now complete. */
    record RequestBodyProgress(String request, boolean complete) implements PolicyEvent {}

    /** A message from the gateway with the number {@code from} has arrived. */
    record PeerMessage(int from, byte[] bytes) implements PolicyEvent {}

    /** The counter service has answered. */
    record CounterResult(long name, AttemptOutcome outcome, double total, long elapsed) implements PolicyEvent {}

    /** The client no longer waits for the request; no answer is due. */
    record RequestWithdrawn(String request) implements PolicyEvent {}

    /** A request that was {@linkplain PolicyActions#forwardToRegion forwarded} has its final answer. */
    record ForwardedRequestEnded(String request) implements PolicyEvent {}

    /** A health check has ended. */
    record HealthCheckEnded(String server, AttemptOutcome outcome, long elapsed) implements PolicyEvent {}

    /** The actions of a gateway; each one takes effect at once, in the order of the calls. */
    interface PolicyActions {

        /** Starts an attempt of the request at a server, which times out after {@code timeout}. */
        void send(String request, String server, long timeout);

        /** Final answer: rejected. A repeat is harmless, and should not come before {@code retryAfter} has passed. */
        void reject(String request, long retryAfter);

        /**
         * Called before a {@link #reject} because no server is available: forwards the request to another region that
         * accepts it and then answers it, if there is one. Never called for a request that the quota, the rate limit or
         * the cap on attempts in flight rejects. A forwarded request counts here as in flight until {@link
         * ForwardedRequestEnded}.
         *
         * @return whether it was forwarded
         */
        default boolean forwardToRegion(String request, long retryAfter) {
            return false;
        }

        /** Final answer: failed; the request may have run. */
        void fail(String request);

        /** Stops waiting for an attempt. */
        void cancelAttempt(String request, int attempt);

        /** Checks a server's health. */
        void checkHealth(String server);

        /** Closes idle connections to a server. */
        void closeIdleConnections(String server);

        /**
         * Sends a message of at most {@link DeploymentLimits#peerMessageBytes} bytes to the gateway with the number
         * {@code peer}.
         */
        void sendToPeer(int peer, byte[] bytes);

        /** Adds to a counter of the counter service, which is retained for {@code retention} from its first use. */
        void addToCounter(long name, double amount, long retention);

        /** Queries discovery for the full list of servers once. */
        void fetchServers();

        /** Subscribes to changes of the list of servers, or ends the subscription. */
        void watchServers(boolean on);

        /** Sets a timer: {@link TimerExpired} with that token is delivered at {@code dueAt}. */
        void setTimer(long dueAt, long token);

        /** Writes a line to the operators' log. */
        void log(String line);
    }
}
