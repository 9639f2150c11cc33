package reedmux.gatekeeper.policy;

import reedmux.gatekeeper.policy.TrafficPolicy.ServerList;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerListScope;

/** Load balancing: selects the server for a request, and limits the load of servers that are warming up. */
final class ServerSelector {
    /** Delay of {@link #POLL_TIMER} after a discovery failure: shorter loads discovery, longer keeps stale lists. */
    private static final long DISCOVERY_RETRY_MICROS = 500_000;

    static final long POLL_TIMER = 2;
    /** Maximum number of servers compared per request: more make a better choice but take more time. */
    private static final int MAX_SAMPLED_SERVERS = 16;
    /** Window size: one server per request in this time; smaller gives more samples per server, larger more spread. */
    private static final double WINDOW_SECONDS = 0.5;
    /** Minimum number of servers in a window, and minimum number of gateways that use each server. */
    private static final int MIN_WINDOW = 4;

    private static final int MIN_GATEWAYS_PER_SERVER = 2;
    /** Cost factor of another zone: higher avoids latency between zones, lower balances the load more evenly. */
    private static final double OTHER_ZONE_COST = 1.08;
    /** Range of a random cost factor: higher avoids crowding of gateways, lower makes better individual choices. */
    private static final double COST_JITTER = 0.15;
    /** Cost of an error relative to an answer, in typical latencies. */
    private static final double ERROR_COST = 4;
    /** Minimum share of servers in use, however bad: if all are slow, the servers are not the cause. */
    private static final double MIN_USED_SHARE = 0.5;
    /** Share of a cold server's load bound that is used; the rest is a margin for estimation errors. */
    private static final double COLD_BOUND_USED = 0.5;
    /** Minimum share of its capacity that a cold server is assumed to have. */
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

    /** Whether so many servers are ejected that the servers are unlikely to be the cause. */
    boolean ignoresEjections() {
        return pool.ejectedCount() > pool.ready.size() * (1 - MIN_USED_SHARE);
    }

    private int window() {
        int size = pool.ready.size();
        int minimum = Math.max(MIN_WINDOW, (MIN_GATEWAYS_PER_SERVER * size - 1) / context.settings.groupSize() + 1);
        return Math.min(size, Math.max(minimum, (int) (WINDOW_SECONDS * sendRate.requestsPerSecond())));
    }

    /**
     * Selects the sampled server with the lowest cost; an ejected server that is due receives a single trial. A gateway
     * with little traffic would lack data on many servers, so it uses a window of their sorted list from its own
     * position; all windows load the servers evenly. It looks outside only while no server in the window can be used,
     * and never at cold ones, whose bounds add up over windows. It is harmful while several of the few are slow.
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

    /** Checks the rules on side effects, draining, attempts and cold servers; every selected server has passed it. */
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

    /** Minimum share of its capacity that a started server is sure to have; 1 when it is warm. */
    private double coldShare(ServerState server) {
        double initialShare =
                Math.max(MIN_COLD_CAPACITY, context.settings.rules().coldCapacityShare());
        double age = (double) Math.max(0, context.now - server.listing.startedAt())
                / context.settings.rules().warmUpTime();
        return server.listing.startedAt() > 0 && age < 1 ? initialShare + (1 - initialShare) * age : 1;
    }

    /**
     * Whether a cold server's load bound permits an attempt. Our part of it follows our mean load per warm server,
     * based on the warm share of our window, so that the parts of all gateways add up to the bound. Counting the whole
     * window as warm left a release's new servers idle while the few warm ones were congested. Soon after start-up the
     * mean covers the time since then. Credit never exceeds zero, and a random initial value keeps hundreds of gateways
     * from sending their first at once.
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
