package reedmux.proxy.loadbalancer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import reedmux.control.instances.CheckerIncarnation;
import reedmux.control.session.ProxySession;
import reedmux.control.session.SessionView;

/**
 * Chooses the checker for a request. Of those that may take one more, it is the one with the lowest score: its latency,
 * raised by its load and by its distance. Suspect checkers are chosen only if there is no other.
 *
 * <p>The proxies agree on their parts without asking each other: each has a share of the slots of the checkers in its
 * zone, computed from the session view in the same order everywhere. A checker thus gets most of its requests from few
 * proxies, which know its load; what the others send is estimated by this proxy's own utilization. A proxy sends a
 * checker no more than twice its share of the capacity, so that the sum over all proxies fits into its queue.
 *
 * <p>Deterministic but for its seed; for one thread.
 */
public final class LoadBalancer {
    /** The weight of a new latency in the moving average of a route. */
    private static final double LATENCY_EWMA_WEIGHT = 0.05;
    /** How much the score of a checker in another zone is raised: higher keeps more traffic in the zone. */
    private static final double REMOTE_ZONE_PENALTY = 0.2;

    private static final double REMOTE_ZONE_PENALTY_LARGE_BODY = 1.0;
    /** Scores are raised at random by up to this, so that proxies do not all choose the same checker. */
    private static final double SCORE_JITTER = 0.05;
    /** A checker queues as many requests as it executes. */
    private static final int SLOTS_PER_CAPACITY = 2;
    /**
     * With up to this many proxies, each has a slot at every checker; with more, only some for each checker, as its
     * queue has to have room for all of these slots at once.
     */
    private static final int MAX_PROXIES_ALL_GUARANTEED = 10;

    private static final int GUARANTEED_SLOTS_PER_CHECKER = 6;
    /** The weight of a new utilization in the moving average, its maximum, and what it is without any slots. */
    private static final double UTILIZATION_EWMA_WEIGHT = 0.1;

    private static final double MAX_UTILIZATION = 1.5;
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

    /** A load balancer of the proxy at a node, without checkers. */
    public LoadBalancer(String node, String zone, long seed) {
        this.node = node;
        this.zone = zone;
        random = new Random(seed);
    }

    /** Takes over what the control plane knows of an incarnation of a checker. */
    public void onIncarnationUpdate(CheckerIncarnation incarnation, long now) {
        CheckerStats checker = checkers.get(incarnation.id());
        boolean gone = incarnation.phase() == CheckerIncarnation.GONE;
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

    /** Takes over the proxies among which the checkers' slots are shared. */
    public void onViewChange(SessionView next) {
        view = next;
        sharesAssigned = false;
    }

    /** Computes this proxy's share of each checker, if checkers or proxies have changed. */
    private void assignShares() {
        if (sharesAssigned) {
            return;
        }
        sharesAssigned = true;
        for (List<CheckerStats> ofService : checkersByService.values()) {
            Map<String, List<CheckerStats>> byZone = new HashMap<>();
            for (CheckerStats checker : ofService) {
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
     * Divides the checkers of one service and zone, in the order of their ids, into runs of equal length, one for each
     * proxy of the zone in the order of the view; or for each proxy at all, if the zone has none.
     */
    private void assignSharesOfZone(String ofZone, List<CheckerStats> ofCheckers) {
        List<ProxySession> proxies = view.members().stream()
                .filter(member -> member.zone().equals(ofZone))
                .toList();
        proxies = proxies.isEmpty() ? view.members() : proxies;
        int selfIndex = -1;
        for (int i = 0; i < proxies.size(); i++) {
            selfIndex = proxies.get(i).node().equals(node) ? i : selfIndex;
        }
        if (selfIndex < 0) {
            return;
        }
        double runStart = (double) selfIndex / proxies.size();
        double runEnd = (double) (selfIndex + 1) / proxies.size();
        ofCheckers.sort((one, other) -> one.id().compareTo(other.id()));
        int count = ofCheckers.size();
        for (int i = 0; i < count; i++) {
            double overlap = Math.min((i + 1.0) / count, runEnd) - Math.max((double) i / count, runStart);
            CheckerStats checker = ofCheckers.get(i);
            checker.setSlots(Math.max(0, overlap) * count, checker.hasGuaranteedSlot());
        }
    }

    /** Whether this proxy has a slot at a checker of which it has no share. */
    private boolean ranksAmongGuaranteed(CheckerStats checker) {
        if (view.size() <= MAX_PROXIES_ALL_GUARANTEED) {
            return true;
        }
        int ownHash = rendezvousHash(checker, node);
        int lower = 0;
        for (ProxySession member : view.members()) {
            lower += rendezvousHash(checker, member.node()) < ownHash ? 1 : 0;
        }
        return lower < GUARANTEED_SLOTS_PER_CHECKER;
    }

    /** Ranks the proxies at a checker: all agree on the order, and each checker has another one. */
    private static int rendezvousHash(CheckerStats checker, String node) {
        int hash = (checker.id().hashCode() * 31 + node.hashCode()) * 0x9E3779B1;
        return (hash ^ hash >>> 15) * 0x85EBCA77;
    }

    /** The checker with an id, or null. */
    public CheckerStats get(String id) {
        return checkers.get(id);
    }

    /** Whether no checker is known. */
    public boolean isEmpty() {
        return checkers.isEmpty();
    }

    /** How many checkers are known. */
    public int size() {
        return checkers.size();
    }

    /** The mean latency of a route's requests, as seen here; {@code fallback} before there was any. */
    public double meanLatencyMicros(String route, double fallback) {
        return meanLatencyByRoute.getOrDefault(route, fallback);
    }

    /** A checker has responded to a request of a route after this latency. */
    public void onResponse(CheckerStats checker, String route, long latencyMicros, long now) {
        double mean = meanLatencyByRoute.merge(
                route, (double) latencyMicros, (before, latency) -> before + LATENCY_EWMA_WEIGHT * (latency - before));
        checker.onResponse(now, latencyMicros / Math.max(1, mean));
    }

    /** Sets how many connections one checker of a service takes from all proxies together. */
    public void setConnectionLimit(String service, int connections) {
        connectionLimits.put(service, connections);
    }

    /**
     * How many requests this proxy may have in flight at a checker. Where all slots together would exceed the checker's
     * connection limit, there are no guaranteed ones: each proxy has its share of the limit less one, and that one
     * belongs to the proxy that ranks first, so that a checker is never out of reach for all.
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
     * The checker to send a request to, or null where every one that could take it has as many as we may send it.
     *
     * @param excluded               ids of checkers that are not to be chosen
     * @param large                  whether a large body is sent, which is better done within the zone
     * @param silenceToleranceMicros how long a checker may be silent before it is suspect
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

    /** Grows with the cube of the load, so that load matters little until a checker is nearly full. */
    private double score(CheckerStats checker, boolean large, long now) {
        int capacity = checker.incarnation().capacity();
        double ofOtherProxies = capacity * utilization * (1 - Math.min(1, checker.slotShare()));
        double load = (checker.inFlight() + ofOtherProxies) / capacity;
        double distance = 0;
        if (!checker.incarnation().zone().equals(zone)) {
            distance = large ? REMOTE_ZONE_PENALTY_LARGE_BODY : REMOTE_ZONE_PENALTY;
        }
        return checker.latencyRatio(now)
                * (1 + distance)
                * (1 + load * load * load)
                * (1 + SCORE_JITTER * random.nextDouble());
    }

    /** Whether any checker of a service accepts requests, however busy it is. */
    public boolean hasAvailableChecker(String service) {
        return checkersByService.getOrDefault(service, List.of()).stream().anyMatch(CheckerStats::acceptsRequests);
    }

    /** Updates the average utilization of this proxy's slots; to be called at a fixed interval. */
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

    /** Forgets the checkers that are gone once their last request has ended. */
    private void removeGone() {
        checkers.values()
                .removeIf(
                        checker -> checker.incarnation().phase() == CheckerIncarnation.GONE && checker.inFlight() == 0);
    }
}
