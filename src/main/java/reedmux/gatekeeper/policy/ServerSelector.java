package reedmux.gatekeeper.policy;

import reedmux.gatekeeper.policy.TrafficPolicy.ServerList;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerListScope;

/** Load balancing: which server a request goes to, and how much a server that is still warming up may be given. */
final class ServerSelector {
    /** Set for {@link #POLL_TIMER}: when to ask discovery again after a failure; its load against stale lists. */
    private static final long DISCOVERY_RETRY_MICROS = 500_000;

    static final long POLL_TIMER = 2;
    /** Servers looked at for a request: a better choice against time. */
    private static final int MAX_SAMPLED_SERVERS = 16;
    /** A gateway keeps to one server for each request of its own in so many seconds: to know them, against spread. */
    private static final double WINDOW_SECONDS = 0.5;
    /** It keeps to so many at least, and so many gateways use each server at least. */
    private static final int MIN_WINDOW = 4;

    private static final int MIN_GATEWAYS_PER_SERVER = 2;
    /** A server in another zone must be this much quicker: latency between zones against even load. */
    private static final double OTHER_ZONE_COST = 1.08;
    /** A random factor on each cost: what crowding of gateways costs against the best choice of each. */
    private static final double COST_JITTER = 0.15;
    /** What an error costs against an answer, in usual times. */
    private static final double ERROR_COST = 4;
    /** The share of servers that stay in use, however bad: all being slow is not their fault. */
    private static final double MIN_USED_SHARE = 0.5;
    /** Part of a cold server's load bound in use; the rest is for errors of estimates. */
    private static final double COLD_BOUND_USED = 0.5;
    /** The share of its capacity that a cold server is taken to have at least. */
    private static final double MIN_COLD_CAPACITY = 0.01;

    private final PolicyContext context;
    private final LatencyEstimator latencies;
    private final RetryPolicy retries;
    private final ServerPool pool;
    private final SendRate sendRate;

    ServerSelector(PolicyContext context, LatencyEstimator latencies, RetryPolicy retries, ServerPool pool) {
        this.context = context;
        this.latencies = latencies;
        this.retries = retries;
        this.pool = pool;
        sendRate = new SendRate(context);
    }

    void onServers(ServerList list) {
        if (list.scope() == ServerListScope.FAILED && context.settings.pollsDiscovery()) {
            context.actions.setTimer(context.now + DISCOVERY_RETRY_MICROS, POLL_TIMER);
        }
        for (ServerState server : pool.apply(list, ServerHealth.initialLimit(context.settings.groupSize()))) {
            server.warmUpCredit = -context.random.nextDouble() * latencies.meanAttemptTime();
            server.warmUpCreditAt = context.now;
        }
    }

    /** Whether so many servers are ejected that it is not believed to be their fault. */
    boolean ignoresEjections() {
        return pool.ejectedCount() > pool.ready.size() * (1 - MIN_USED_SHARE);
    }

    private int window() {
        int size = pool.ready.size();
        int minimum = Math.max(MIN_WINDOW, (MIN_GATEWAYS_PER_SERVER * size - 1) / context.settings.groupSize() + 1);
        return Math.min(size, Math.max(minimum, (int) (WINDOW_SECONDS * sendRate.requestsPerSecond())));
    }

    /**
     * The server with the least expected time, of a sample; one that is ejected gets a single trial when due.
     * A gateway with few requests would know none of many servers, so it keeps to a window of their sorted list from
     * its own position; all windows load all alike. Beyond it looks while none in it may be used, but never at cold
     * servers, whose bounds add up over windows. It harms while several of the few are slow.
     */
    ServerState choose(ActiveRequest request) {
        boolean ignoresEjections = ignoresEjections();
        ServerState best = null;
        double lowestCost = Double.MAX_VALUE;
        int size = pool.ready.size();
        int window = window();
        int start = (int) ((long) context.settings.self() * size / context.settings.groupSize());
        int offset = window == 0 ? 0 : context.random.nextInt(window);
        int sampled = 0;
        for (int i = 0; i < size && sampled < MAX_SAMPLED_SERVERS && (i < window || sampled == 0); i++) {
            ServerState server = pool.ready.get((start + (i < window ? (offset + i) % window : i)) % size);
            if (i >= window && coldShare(server) < 1 || server.isFull() || !maySend(request, server)) {
                continue;
            }
            if (server.isEjected() && !ignoresEjections) {
                if (context.now < server.ejectedUntil || server.inFlight > 0 || !request.mayTryEjected()) {
                    continue;
                }
                return server;
            }
            sampled++;
            double cost = cost(request, server);
            if (cost < lowestCost) {
                lowestCost = cost;
                best = server;
            }
        }
        return best;
    }

    /** The rules on effects, draining, attempts and cold servers; no server is chosen without this. */
    private boolean maySend(ActiveRequest request, ServerState server) {
        return !request.wasSentTo(server)
                && server.isReady()
                && retries.hasAttemptLeft(request)
                && withinColdBound(server)
                && retries.mayRepeatAt(request, server);
    }

    private double cost(ActiveRequest request, ServerState server) {
        double queueingTime = latencies.serviceTime(request) * latencies.latencyRatio(server) * (server.inFlight + 1);
        return Math.max(queueingTime, latencies.expectedTime(request, server))
                * (1 + ERROR_COST * server.errorRate)
                * (server.listing.zone() == context.settings.zone() ? 1 : OTHER_ZONE_COST)
                * (1 + COST_JITTER * context.random.nextDouble());
    }

    /** The least share of its capacity that a started server may count on; 1 when it is warm. */
    private double coldShare(ServerState server) {
        double initialShare =
                Math.max(MIN_COLD_CAPACITY, context.settings.rules().coldCapacityShare());
        double age = (double) Math.max(0, context.now - server.listing.startedAt())
                / context.settings.rules().warmUpTime();
        return server.listing.startedAt() > 0 && age < 1 ? initialShare + (1 - initialShare) * age : 1;
    }

    /**
     * Our part of a cold server's load bound goes by our own mean on warm servers, which are their share of our
     * window, so that the parts of all gateways add up to the whole. Taken as all of the window they left a release's
     * new servers idle while the few warm ones were congested. After a start the mean is over the time since.
     * Nothing is saved up, and a random start keeps hundreds of gateways from sending their first at once.
     */
    private boolean withinColdBound(ServerState server) {
        double share = coldShare(server);
        if (share == 1) {
            return true;
        }
        double multiple = COLD_BOUND_USED * context.settings.rules().coldOverloadMultiple() * share;
        double refill = multiple * sendRate.workPerWarmServer() * (context.now - server.warmUpCreditAt);
        server.warmUpCredit = Math.min(0, server.warmUpCredit + refill / PolicyContext.MICROS_PER_SECOND);
        server.warmUpCreditAt = context.now;
        return server.warmUpCredit >= 0;
    }

    void onSent(ServerState server, double work) {
        sendRate.onSent();
        if (coldShare(server) < 1) {
            server.warmUpCredit -= work;
        } else {
            double warmServers =
                    pool.ready.stream().filter(other -> coldShare(other) == 1).count();
            sendRate.onWarmWork(work, Math.max(1, window() * warmServers / pool.ready.size()));
        }
    }
}
