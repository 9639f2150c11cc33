package reedmux.gatekeeper.policy;

import java.util.List;

/**
 * One gateway in front of a shared fleet of servers: what it is told, and what it may do. Times are
 * microseconds of one clock that never runs backwards; an implementation has no time but {@code now}.
 */
public interface TrafficPolicy {

    /** Takes in one event that happened at {@code now}; what it calls for goes to {@code actions} at once. */
    void handle(long now, PolicyEvent event, PolicyActions actions);

    /** What a repeat does: nothing more, nothing more within its group and window, or the effect again. */
    enum Idempotency {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** The servers that recognise a keyed request's repeats: all, or those of the same zone or cell. */
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

    /** A class of requests; {@code aim} and {@code deadline} run from the arrival. */
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
     * A plan. {@code rate} and {@code burst} bound a customer's units, {@code maxOpen} its attempts out at
     * once and the three ceiling values what may never be passed; 0 means no bound.
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

    /** The figures of the rules. */
    record PlatformRules(
            long deadlineSlack,
            long discoveryQueryWindow,
            double coldCapacityShare,
            long warmUpTime,
            long drainGrace,
            double coldOverloadMultiple,
            long coldOverloadWindow) {}

    /** What the deployment permits. */
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
     * All that a gateway is told at its start; {@code unitsWhenWhole}: a request takes its units only once an
     * attempt has come whole to a server, and else when it is first sent on.
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

    /** One server as the list has it; {@code started} is 0 when that was long ago. */
    record ListedServer(String id, int zone, int kind, int cell, ServerStatus status, double weight, long startedAt) {}

    /** Something the gateway is told. */
    sealed interface PolicyEvent {}

    /** The list of servers, or changes to it. */
    record ServerList(ServerListScope scope, List<ListedServer> servers) implements PolicyEvent {}

    /** In place of a plan: a request that another region sends, which has counted it; charges nobody here. */
    int REMOTE_REQUEST_PLAN = -1;

    /** A client's request, which the gateway now owes one final answer before {@code deadline}. */
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

    /** A timer set earlier has come due. */
    record TimerExpired(long token) implements PolicyEvent {}

    /** An attempt has ended; {@code over} tells that so has the request, {@code units} are the true ones. */
    record AttemptEnded(
            String request,
            boolean requestOver,
            String server,
            int attempt,
            double actualUnits,
            long elapsed,
            AttemptOutcome outcome)
            implements PolicyEvent {}

    /** The answer to an attempt has begun to stream; its time-outs no longer run. */
    record ResponseStreamStarted(String request, String server, int attempt, long elapsed) implements PolicyEvent {}

    /** A request's body, of which its attempts have what has come, is still coming in, or is whole now. */
    record RequestBodyProgress(String request, boolean complete) implements PolicyEvent {}

    /** A message of another gateway. */
    record PeerMessage(int from, byte[] bytes) implements PolicyEvent {}

    /** The answer to a call of the counter service. */
    record CounterResult(long name, AttemptOutcome outcome, double total, long elapsed) implements PolicyEvent {}

    /** The request has ended without the gateway's doing; nothing is owed for it. */
    record RequestWithdrawn(String request) implements PolicyEvent {}

    /** A request that was {@linkplain PolicyActions#forwardToRegion sent away} is back, and its final answer given. */
    record ForwardedRequestEnded(String request) implements PolicyEvent {}

    /** A probe has ended. */
    record HealthCheckEnded(String server, AttemptOutcome outcome, long elapsed) implements PolicyEvent {}

    /** What a gateway may do; each call takes effect at once, in the order made. */
    interface PolicyActions {
        /** Starts an attempt of the request, which ends as timed out after {@code timeout}. */
        void send(String request, String server, long timeout);

        /** Final answer: turned away; a repeat is harmless, and better not before {@code retryAfter}. */
        void reject(String request, long retryAfter);

        /**
         * In place of a {@link #refuse} for want of a server: whether the request goes to another region
         * instead, which then answers it. Never asked for one that the quota, the ceiling or the cap on open
         * attempts turns away. One that goes counts here like any that is sent on, until {@link ForwardedRequestEnded}.
         */
        default boolean forwardToRegion(String request, long retryAfter) {
            return false;
        }

        /** Final answer: failed, promising nothing. */
        void fail(String request);

        /** Stops waiting for an attempt. */
        void cancelAttempt(String request, int attempt);

        /** Probes a server. */
        void checkHealth(String server);

        /** Closes idle connections to a server. */
        void closeIdleConnections(String server);

        /** Sends a message of at most 256 bytes to another gateway. */
        void sendToPeer(int peer, byte[] bytes);

        /** Adds to a number of the counter service, kept for {@code keep} from its first use. */
        void addToCounter(long name, double amount, long keep);

        /** Asks for the full server list once. */
        void fetchServers();

        /** Asks for changes of the server list from now on, or stops. */
        void watchServers(boolean on);

        /** Asks for a {@link TimerExpired} at a time of the clock. */
        void setTimer(long at, long token);

        /** Leaves a line in the operators' log. */
        void log(String line);
    }
}
