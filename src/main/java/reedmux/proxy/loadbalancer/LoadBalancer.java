package reedmux.proxy.loadbalancer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import reedmux.control.instances.InstanceIncarnation;
import reedmux.control.session.ProxySession;
import reedmux.control.session.SessionView;

/**
 * Chooses the checker for a request: among the checkers that can take another request, the one with the lowest score.
 * The score is the checker's latency, increased by its load and by its distance. Suspect checkers are chosen only if no
 * other checker is available.
 *
 * <p>The proxies divide the checkers among themselves without communicating: each proxy has a share of the slots of the
 * checkers in its zone, which every proxy computes from the session view in the same order. A checker therefore
 * receives most of its requests from a few proxies, which know its load. The load from the other proxies is estimated
 * from this proxy's own utilization. A proxy has at most twice its share of a checker's capacity in flight, so that the
 * requests of all proxies together fit into the checker's queue.
 *
 * <p>Deterministic for a given seed. Not thread-safe.
 */
public final class LoadBalancer {
    /** Weight of a new latency in the moving average of a route. */
    private static final double LATENCY_EWMA_WEIGHT = 0.05;
    /** Relative increase of the score of a checker in another zone. A higher value keeps more traffic in the zone. */
    private static final double REMOTE_ZONE_PENALTY = 0.2;

    /** The same increase for requests with a large body. */
    private static final double REMOTE_ZONE_PENALTY_LARGE_BODY = 1.0;
    /** Maximum random relative increase of a score, so that the proxies do not all choose the same checker. */
    private static final double SCORE_JITTER = 0.05;
    /** Slots per unit of capacity: a checker queues as many requests as it executes concurrently. */
    private static final int SLOTS_PER_CAPACITY = 2;
    /**
     * Maximum number of proxies with which each proxy has a guaranteed slot at every checker. With more proxies, only
     * {@link #GUARANTEED_SLOTS_PER_CHECKER} of them have one at a given checker, because the checker's queue must have
     * room for all guaranteed slots at once.
     */
    private static final int MAX_PROXIES_ALL_GUARANTEED = 10;

    private static final int GUARANTEED_SLOTS_PER_CHECKER = 6;
    /** Weight of a new utilization in the moving average. */
    private static final double UTILIZATION_EWMA_WEIGHT = 0.1;

    /** Upper bound of a single utilization sample. */
    private static final double MAX_UTILIZATION = 1.5;
    /** Utilization sample that is used while this proxy has no slots. */
    private static final double UTILIZATION_WITHOUT_SLOTS = 0.5;

    private static final double INITIAL_UTILIZATION = 0.4;

    private final String node;
    private final String zone;
    private final Random random;
    private final Map<String, CheckerStats> checkers = new LinkedHashMap<>();
    private final Map<String, List<CheckerStats>> checkersByService = new HashMap<>();
    private final Map<String, Double> meanLatencyByRoute = new HashMap<>();
    private final Map<String, Integer> connectionLimits = new HashMap<>();
    private SessionView view = SessionView.of(List.of());
    private double utilization = INITIAL_UTILIZATION;
    private boolean sharesAssigned;

    /** Creates a load balancer without checkers for the proxy on the given node. */
    public LoadBalancer(String node, String zone, long seed) {
        this.node = node;
        this.zone = zone;
        random = new Random(seed);
    }

    /** Applies the state of a checker's incarnation that the control plane reports. */
    public void onIncarnationUpdate(InstanceIncarnation incarnation, long now) {
        CheckerStats checker = checkers.get(incarnation.id());
        boolean gone = incarnation.phase() == InstanceIncarnation.GONE;
        if (checker != null) {
            checker.updateIncarnation(incarnation, now);
        } else if (!gone && !incarnation.service().isEmpty()) {
            checker = new CheckerStats(incarnation, now);
            checkers.put(incarnation.id(), checker);
            checkersByService
                    .computeIfAbsent(incarnation.service(), service -> new ArrayList<>())
                    .add(checker);
        }
        if (gone && checker != null) {
            checkersByService
                    .getOrDefault(incarnation.service(), new ArrayList<>())
                    .remove(checker);
            if (checker.inFlight() == 0) {
                checkers.remove(incarnation.id());
            }
        }
        sharesAssigned = false;
    }

    /** Sets the proxies that share the checkers' slots. */
    public void onViewChange(SessionView next) {
        view = next;
        sharesAssigned = false;
    }

    /** Recomputes this proxy's share of each checker if the checkers or the proxies have changed. */
    private void assignShares() {
        if (sharesAssigned) {
            return;
        }
        sharesAssigned = true;
        for (List<CheckerStats> serviceCheckers : checkersByService.values()) {
            Map<String, List<CheckerStats>> byZone = new HashMap<>();
            for (CheckerStats checker : serviceCheckers) {
                checker.setSlots(0, ranksAmongGuaranteed(checker));
                if (checker.acceptsRequests()) {
                    byZone.computeIfAbsent(checker.incarnation().zone(), name -> new ArrayList<>())
                            .add(checker);
                }
            }
            byZone.forEach(this::assignSharesOfZone);
        }
    }

    /**
     * Divides the checkers of one service and zone, sorted by id, into contiguous ranges of equal size, one for each
     * proxy of the zone in the order of the view. If the zone has no proxy, there is one range for each proxy of the
     * view. A checker on the boundary of two ranges is shared in proportion.
     */
    private void assignSharesOfZone(String checkerZone, List<CheckerStats> zoneCheckers) {
        List<ProxySession> proxies = view.members().stream()
                .filter(member -> member.zone().equals(checkerZone))
                .toList();
        proxies = proxies.isEmpty() ? view.members() : proxies;
        int selfIndex = -1;
        for (int i = 0; i < proxies.size(); i++) {
            selfIndex = proxies.get(i).node().equals(node) ? i : selfIndex;
        }
        if (selfIndex < 0) {
            return;
        }
        double rangeStart = (double) selfIndex / proxies.size();
        double rangeEnd = (double) (selfIndex + 1) / proxies.size();
        zoneCheckers.sort((left, right) -> left.id().compareTo(right.id()));
        int count = zoneCheckers.size();
        for (int i = 0; i < count; i++) {
            double overlap = Math.min((i + 1.0) / count, rangeEnd) - Math.max((double) i / count, rangeStart);
            CheckerStats checker = zoneCheckers.get(i);
            checker.setSlots(Math.max(0, overlap) * count, checker.hasGuaranteedSlot());
        }
    }

    /** Returns whether this proxy has a guaranteed slot at a checker, independent of its share. */
    private boolean ranksAmongGuaranteed(CheckerStats checker) {
        if (view.size() <= MAX_PROXIES_ALL_GUARANTEED) {
            return true;
        }
        int ownHash = rendezvousHash(checker, node);
        int lowerRankedProxies = 0;
        for (ProxySession member : view.members()) {
            lowerRankedProxies += rendezvousHash(checker, member.node()) < ownHash ? 1 : 0;
        }
        return lowerRankedProxies < GUARANTEED_SLOTS_PER_CHECKER;
    }

    /**
     * Returns the rank of a proxy at a checker (rendezvous hashing). All proxies compute the same order, and the order
     * differs from checker to checker.
     */
    private static int rendezvousHash(CheckerStats checker, String node) {
        int hash = (checker.id().hashCode() * 31 + node.hashCode()) * 0x9E3779B1;
        return (hash ^ hash >>> 15) * 0x85EBCA77;
    }

    /** Returns the checker with the given id, or null. */
    public CheckerStats get(String id) {
        return checkers.get(id);
    }

    /** Returns whether no checker is known. */
    public boolean isEmpty() {
        return checkers.isEmpty();
    }

    /** Returns the number of known checkers. */
    public int size() {
        return checkers.size();
    }

    /**
     * Returns the mean latency of a route's requests through this proxy, in microseconds, or {@code fallback} if there
     * was no response yet.
     */
    public double meanLatencyMicros(String route, double fallback) {
        return meanLatencyByRoute.getOrDefault(route, fallback);
    }

    /** Records the latency of a checker's response to a request of a route. */
    public void onResponse(CheckerStats checker, String route, long latencyMicros, long now) {
        double mean = meanLatencyByRoute.merge(
                route,
                (double) latencyMicros,
                (average, latency) -> average + LATENCY_EWMA_WEIGHT * (latency - average));
        checker.onResponse(now, latencyMicros / Math.max(1, mean));
    }

    /** Sets how many connections each checker of a service accepts from all proxies together. */
    public void setConnectionLimit(String service, int connections) {
        connectionLimits.put(service, connections);
    }

    /**
     * Returns how many requests this proxy may have in flight at a checker. If all slots together could exceed the
     * checker's connection limit, there are no guaranteed slots: each proxy gets its share of the limit minus one
     * connection, and the remaining connection belongs to the proxy that ranks first, so that at least one proxy can
     * always reach the checker.
     */
    int maxInFlight(CheckerStats checker) {
        int slots = SLOTS_PER_CAPACITY * checker.incarnation().capacity();
        int connectionLimit =
                connectionLimits.getOrDefault(checker.incarnation().service(), Integer.MAX_VALUE);
        int guaranteedSlots = view.size() <= MAX_PROXIES_ALL_GUARANTEED ? view.size() : GUARANTEED_SLOTS_PER_CHECKER;
        if (slots + 1 + guaranteedSlots > connectionLimit) {
            int ownConnections = (int) ((connectionLimit - 1) * Math.min(1, checker.slotShare()));
            return Math.min(slots, ranksFirst(checker) ? ownConnections + 1 : ownConnections);
        }
        return Math.max(checker.hasGuaranteedSlot() ? 1 : 0, (int) Math.round(slots * checker.slotShare()));
    }

    private boolean ranksFirst(CheckerStats checker) {
        int ownHash = rendezvousHash(checker, node);
        return view.members().stream().noneMatch(member -> rendezvousHash(checker, member.node()) < ownHash);
    }

    /**
     * Returns the checker to send a request to, or null if no checker is eligible or this proxy already has the maximum
     * number of requests in flight at every eligible one.
     *
     * @param excluded               ids of checkers that must not be chosen
     * @param large                  whether the request has a large body, for which a checker in the same zone is more
     *                               strongly preferred
     * @param silenceToleranceMicros how long a checker with requests in flight may be silent before it is suspect
     */
    public CheckerStats choose(
            String service, Set<String> excluded, boolean large, long silenceToleranceMicros, long now) {
        assignShares();
        CheckerStats best = null;
        double bestScore = Double.MAX_VALUE;
        boolean bestSuspect = true;
        for (CheckerStats checker : checkersByService.getOrDefault(service, List.of())) {
            if (!checker.acceptsRequests()
                    || excluded.contains(checker.id())
                    || checker.inFlight() >= maxInFlight(checker)) {
                continue;
            }
            boolean suspect = checker.isSuspect(now, silenceToleranceMicros);
            double score = score(checker, large, now);
            boolean better = suspect == bestSuspect ? score < bestScore : bestSuspect;
            if (better) {
                best = checker;
                bestScore = score;
                bestSuspect = suspect;
            }
        }
        return best;
    }

    /**
     * Returns the score of a checker; lower is better. It increases with the cube of the load, so that the load matters
     * little until the checker is nearly full.
     */
    private double score(CheckerStats checker, boolean large, long now) {
        int capacity = checker.incarnation().capacity();
        double inFlightOfOtherProxies = capacity * utilization * (1 - Math.min(1, checker.slotShare()));
        double load = (checker.inFlight() + inFlightOfOtherProxies) / capacity;
        double distance = 0;
        if (!checker.incarnation().zone().equals(zone)) {
            distance = large ? REMOTE_ZONE_PENALTY_LARGE_BODY : REMOTE_ZONE_PENALTY;
        }
        return checker.latencyRatio(now)
                * (1 + distance)
                * (1 + load * load * load)
                * (1 + SCORE_JITTER * random.nextDouble());
    }

    /** Returns whether any checker of a service accepts requests, regardless of its load. */
    public boolean hasAvailableChecker(String service) {
        return checkersByService.getOrDefault(service, List.of()).stream().anyMatch(CheckerStats::acceptsRequests);
    }

    /**
     * Updates the average utilization of this proxy's slots and removes checkers that are gone. Must be called at a
     * fixed interval.
     */
    public void updateUtilization() {
        assignShares();
        double slots = 0;
        int inFlight = 0;
        for (CheckerStats checker : checkers.values()) {
            slots += checker.acceptsRequests() ? checker.incarnation().capacity() * checker.slotShare() : 0;
            inFlight += checker.inFlight();
        }
        double current = slots > 0 ? inFlight / slots : UTILIZATION_WITHOUT_SLOTS;
        utilization += UTILIZATION_EWMA_WEIGHT * (Math.min(MAX_UTILIZATION, current) - utilization);
        removeGone();
    }

    /** Removes the checkers that are gone and have no request in flight. */
    private void removeGone() {
        checkers.values()
                .removeIf(checker ->
                        checker.incarnation().phase() == InstanceIncarnation.GONE && checker.inFlight() == 0);
    }
}
