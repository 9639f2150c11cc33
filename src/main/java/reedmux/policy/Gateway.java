package reedmux.policy;

import java.util.List;

/**
 * One gateway in front of a shared fleet of servers: what it is told, and what it may do. Times are
 * microseconds of one clock that never runs backwards; an implementation has no time but {@code now}.
 */
public interface Gateway {

    /** Takes in one event that happened at {@code now}; what it calls for goes to {@code actions} at once. */
    void handle(long now, Event event, Actions actions);

    /** What a repeat does: nothing more, nothing more within its group and window, or the effect again. */
    enum Repeat {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** The servers that recognise a keyed request's repeats: all, or those of the same zone or cell. */
    enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** How an attempt ended. */
    enum Outcome {
        OK(false),
        ERROR(false),
        FULL(true),
        TIMEOUT(false),
        CONNECT_FAILED(true),
        RESET(false),
        CANCELLED(false),
        MOOT(true);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** Whether this end proves that the server never ran the request. */
        public boolean neverRan() {
            return neverRan;
        }
    }

    /** What a server list holds: changes, all, all as last known, or nothing as the call failed. */
    enum Scope {
        CHANGES,
        FULL,
        CACHED,
        FAILED
    }

    /** A listed server's state. */
    enum Status {
        READY,
        DRAINING,
        GONE
    }

    /** A class of requests; {@code aim} and {@code deadline} run from the arrival. */
    record RequestClass(
            String name,
            Repeat repeat,
            Group group,
            long window,
            long aim,
            long deadline,
            double worth,
            double lateWorth,
            boolean stream) {}

    /**
     * A plan. {@code rate} and {@code burst} bound a customer's units, {@code maxOpen} its attempts out at
     * once and the three ceiling values what may never be passed; 0 means no bound.
     */
    record Plan(
            String name,
            double rate,
            double burst,
            int maxOpen,
            double ceilingRate,
            double ceilingBurst,
            double ceilingSlack,
            double price,
            double beyondEarns,
            double beyondCosts) {}

    /** The figures of the rules. */
    record Rules(
            long answerSlack,
            long askWithin,
            double coldFrom,
            long coldTime,
            long drainGrace,
            double fallMultiple,
            long fallTime) {}

    /** What the deployment permits. */
    record Limits(
            boolean cancel,
            boolean secondCopies,
            boolean probes,
            boolean peers,
            boolean counter,
            int maxAttempts,
            long maxRetryAfter,
            double peerMessagesPerS,
            int peerBytes,
            long counterTimeout) {}

    /**
     * All that a gateway is told at its start; {@code unitsWhenWhole}: a request takes its units only once an
     * attempt has come whole to a server, and else when it is first sent on.
     */
    record Settings(
            int self,
            int groupSize,
            int zone,
            boolean askDiscovery,
            boolean unitsWhenWhole,
            double mostUnits,
            long tick,
            List<RequestClass> classes,
            List<Plan> plans,
            Rules rules,
            Limits limits) {}

    /** One server as the list has it; {@code started} is 0 when that was long ago. */
    record Server(String id, int zone, int kind, int cell, Status status, double weight, long started) {}

    /** Something the gateway is told. */
    sealed interface Event {}

    /** The list of servers, or changes to it. */
    record ServerList(Scope scope, List<Server> servers) implements Event {}

    /** In place of a plan: a request that another region sends, which has counted it; charges nobody here. */
    int VISITOR = -1;

    /** A client's request, which the gateway now owes one final answer before {@code deadline}. */
    record Request(
            String id,
            int requestClass,
            int plan,
            long customer,
            long deadline,
            double units,
            int spread,
            int first,
            boolean repeat)
            implements Event {}

    /** A timer set earlier has come due. */
    record TimerDue(long token) implements Event {}

    /** An attempt has ended; {@code over} tells that so has the request, {@code units} are the true ones. */
    record AttemptEnded(
            String request, boolean over, String server, int attempt, double units, long took, Outcome outcome)
            implements Event {}

    /** The answer to an attempt has begun to stream; its time-outs no longer run. */
    record StreamStarted(String request, String server, int attempt, long took) implements Event {}

    /** A request's body, of which its attempts have what has come, is still coming in, or is whole now. */
    record Arriving(String request, boolean whole) implements Event {}

    /** A message of another gateway. */
    record PeerMessage(int from, byte[] bytes) implements Event {}

    /** The answer to a call of the counter service. */
    record Counted(long name, Outcome outcome, double total, long took) implements Event {}

    /** The request has ended without the gateway's doing; nothing is owed for it. */
    record Withdrawn(String request) implements Event {}

    /** A request that was {@linkplain Actions#sendAway sent away} is back, and its final answer given. */
    record Returned(String request) implements Event {}

    /** A probe has ended. */
    record Probed(String server, Outcome outcome, long took) implements Event {}

    /** What a gateway may do; each call takes effect at once, in the order made. */
    interface Actions {
        /** Starts an attempt of the request, which ends as timed out after {@code timeout}. */
        void send(String request, String server, long timeout);

        /** Final answer: turned away; a repeat is harmless, and better not before {@code retryAfter}. */
        void refuse(String request, long retryAfter);

        /**
         * In place of a {@link #refuse} for want of a server: whether the request goes to another region
         * instead, which then answers it. Never asked for one that the quota, the ceiling or the cap on open
         * attempts turns away. One that goes counts here like any that is sent on, until {@link Returned}.
         */
        default boolean sendAway(String request, long retryAfter) {
            return false;
        }

        /** Final answer: failed, promising nothing. */
        void fail(String request);

        /** Stops waiting for an attempt. */
        void cancel(String request, int attempt);

        /** Probes a server. */
        void probe(String server);

        /** Closes idle connections to a server. */
        void closeIdle(String server);

        /** Sends a message of at most 256 bytes to another gateway. */
        void tell(int peer, byte[] bytes);

        /** Adds to a number of the counter service, kept for {@code keep} from its first use. */
        void count(long name, double amount, long keep);

        /** Asks for the full server list once. */
        void fetchServers();

        /** Asks for changes of the server list from now on, or stops. */
        void watchServers(boolean on);

        /** Asks for a {@link TimerDue} at a time of the clock. */
        void timer(long at, long token);

        /** Leaves a line in the operators' log. */
        void log(String line);
    }
}
