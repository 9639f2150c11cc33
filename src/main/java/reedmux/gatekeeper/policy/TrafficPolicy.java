package reedmux.gatekeeper.policy;

import java.util.List;

/**
 * The decisions of one gateway in front of a shared pool of servers: the events that it is notified of, and the actions
 * that it may take. Times are microseconds of one clock that never runs backwards; an implementation knows no time but
 * {@code now}, does no I/O and is used by one thread. Units are what requests take from their customers' quotas.
 */
public interface TrafficPolicy {

    /** Handles one event that happened at {@code now}; the actions that follow are taken before it returns. */
    void handle(long now, PolicyEvent event, PolicyActions actions);

    /** What a repeat does: nothing more, nothing more within its scope and window, or the effect again. */
    enum Idempotency {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** The servers that recognise repeats of a keyed request: all, or those of the same zone or cell. */
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

        /** Whether this end proves that the server never ran the request. */
        public boolean neverRan() {
            return neverRan;
        }
    }

    /** What a server list holds: changes, all, all as last known, or nothing as the call failed. */
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
     * @param deduplicationWindow how long servers recognise a repeat of a keyed request
     * @param latencyTarget       in which it should be answered, from its arrival
     * @param deadline            in which it has to be answered, from its arrival
     * @param value               of an answer within the latency target, against other classes
     * @param lateValue           of an answer after it
     * @param streaming           whether its answers are streams
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
     * What a plan allows each of its customers; 0 means no bound.
     *
     * @param quotaRate       units a second, which races between gateways may pass
     * @param quotaBurst      units at once
     * @param maxConcurrency  attempts in flight
     * @param rateLimit       units a second that may never be passed
     * @param rateLimitBurst  units at once, of these
     * @param rateLimitSlack  units that they may be passed by
     * @param price           of a unit, against other plans
     * @param overQuotaRevenue of a unit beyond the quota
     * @param overQuotaCost   of a unit beyond the quota
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
     * @param discoveryQueryWindow in which discovery may be queried once
     * @param coldCapacityShare    the share of its capacity with which a server starts
     * @param warmUpTime           until it has all of it
     * @param drainGrace           how long a draining server may still be sent requests
     * @param coldOverloadMultiple of its capacity, which a cold server may never be sent within the window
     * @param coldOverloadWindow   that window
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
     * What the deployment permits.
     *
     * @param cancellation          whether attempts may be cancelled
     * @param hedging               whether two attempts of a request may be in flight at once
     * @param healthChecks          whether servers may be checked
     * @param peerMessages          whether gateways may send each other messages
     * @param counterService        whether there is a counter service
     * @param maxAttempts           of one request
     * @param maxRetryAfter         the longest advice of a rejection
     * @param peerMessagesPerSecond that may come in at a gateway
     * @param peerMessageBytes      of one message
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
     * @param groupSize        gateways in the group
     * @param pollsDiscovery   whether the gateway has to ask for the list of servers
     * @param chargeOnDelivery whether a request takes its units only once an attempt has come to a server as a whole,
     *                         and not when it is first sent
     * @param maxUnits         of one request
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
     * @param cell      within its zone
     * @param startedAt when its process started; 0 where that was long ago
     */
    record ListedServer(String id, int zone, int kind, int cell, ServerStatus status, double weight, long startedAt) {}

    /** What the gateway is notified of. */
    sealed interface PolicyEvent {}

    /** The list of servers, or changes to it. */
    record ServerList(ServerListScope scope, List<ListedServer> servers) implements PolicyEvent {}

    /** In place of a plan: a request that another region forwards, which has counted it; charges nobody here. */
    int REMOTE_REQUEST_PLAN = -1;

    /**
     * A client's request, which the gateway now owes one final answer.
     *
     * @param requestClass its number in the settings
     * @param plan         its number in the settings, or {@link #REMOTE_REQUEST_PLAN}
     * @param deadline     the time until which it has to be answered
     * @param units        what it is expected to take
     * @param memberCount  the customer's gateways, in a row
     * @param firstMember  the number of the first of them
     * @param clientRetry  whether the client had sent it before
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

    /** A timer that the gateway has set is due. */
    record TimerExpired(long token) implements PolicyEvent {}

    /**
     * An attempt has ended.
     *
     * @param requestOver whether the request has its final answer by it
     * @param attempt     the number of the attempt, from 0
     * @param actualUnits what the request has taken; 0 where that is not known
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

    /** The answer to an attempt has begun to come, and is passed on; the attempt can no longer time out. */
    record ResponseStreamStarted(String request, String server, int attempt, long elapsed) implements PolicyEvent {}

    /** A request's body, which is passed on as it comes, is still coming in, or is complete now. */
    record RequestBodyProgress(String request, boolean complete) implements PolicyEvent {}

    /** A message of the gateway of that number has come in. */
    record PeerMessage(int from, byte[] bytes) implements PolicyEvent {}

    /** The counter service has answered. */
    record CounterResult(long name, AttemptOutcome outcome, double total, long elapsed) implements PolicyEvent {}

    /** The client waits for the request no longer; no answer is owed. */
    record RequestWithdrawn(String request) implements PolicyEvent {}

    /** A request that was {@linkplain PolicyActions#forwardToRegion forwarded} has its final answer. */
    record ForwardedRequestEnded(String request) implements PolicyEvent {}

    /** A health check has ended. */
    record HealthCheckEnded(String server, AttemptOutcome outcome, long elapsed) implements PolicyEvent {}

    /** What a gateway may do; each action takes effect at once, in the order of the calls. */
    interface PolicyActions {

        /** Starts an attempt of the request at a server, which times out after {@code timeout}. */
        void send(String request, String server, long timeout);

        /** Final answer: rejected; a repeat is harmless, and better not before {@code retryAfter} has passed. */
        void reject(String request, long retryAfter);

        /**
         * Before a {@link #reject} for want of a server: forwards the request to another region, which then answers
         * it, if one takes it. Never called for a request that the quota, the rate limit or the cap on attempts in
         * flight rejects. A forwarded request counts here as in flight until {@link ForwardedRequestEnded}.
         *
         * @return whether it was forwarded
         */
        default boolean forwardToRegion(String request, long retryAfter) {
            return false;
        }

        /** Final answer: failed; it may have run. */
        void fail(String request);

        /** Stops waiting for an attempt. */
        void cancelAttempt(String request, int attempt);

        /** Checks a server's health. */
        void checkHealth(String server);

        /** Closes idle connections to a server. */
        void closeIdleConnections(String server);

        /** Sends a message of at most {@link DeploymentLimits#peerMessageBytes} to the gateway of that number. */
        void sendToPeer(int peer, byte[] bytes);

        /** Adds to a counter of the counter service, which is kept for {@code keep} from its first use. */
        void addToCounter(long name, double amount, long keep);

        /** Queries discovery for the full list of servers once. */
        void fetchServers();

        /** Subscribes to changes of the list of servers, or ends the subscription. */
        void watchServers(boolean on);

        /** Sets a timer: {@link TimerExpired} with that token comes at that time. */
        void setTimer(long at, long token);

        /** Writes a line to the operators' log. */
        void log(String line);
    }
}
