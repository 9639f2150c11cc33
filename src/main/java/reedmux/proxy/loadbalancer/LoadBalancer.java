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
 * Chooses checkers. Each proxy has a part of the slots of the checkers in its zone, so that of most
 * checkers it knows the whole load; beyond that it estimates what others send by how busy it is itself.
 * What it sends to one is bounded by that part, so that the sum over all proxies never fills a checker's
 * queue. Pure.
 */
public final class LoadBalancer {
    private static final double LATENCY_EWMA_WEIGHT = 0.05;
    private static final double REMOTE_ZONE_PENALTY = 0.2;
    private static final double REMOTE_ZONE_PENALTY_LARGE_BODY = 1.0;
    private static final double SCORE_JITTER = 0.05;
    /** Up to so many proxies each may have a request at any checker; of more, so many. */
    private static final int MAX_PROXIES_ALL_GUARANTEED = 10;

    private static final int GUARANTEED_SLOTS_PER_CHECKER = 6;
    private final String node;
    private final String zone;
    private final Random random;
    private final Map<String, CheckerStats> checkers = new LinkedHashMap<>();
    private final Map<String, List<CheckerStats>> checkersByPlant = new HashMap<>();
    private final Map<String, Double> meanLatencyByRoute = new HashMap<>();
    private final Map<String, Integer> connectionLimits = new HashMap<>();
    private SessionView view = SessionView.of(List.of());
    private double utilization = 0.4;
    private boolean sharesAssigned;

    public LoadBalancer(String node, String zone, long seed) {
        this.node = node;
        this.zone = zone;
        random = new Random(seed);
    }

    /** News of a life. */
    public void onIncarnationUpdate(CheckerIncarnation life, long now) {
        CheckerStats checker = checkers.get(life.id());
        if (checker != null) {
            checker.updateIncarnation(life, now);
        } else if (life.phase() != CheckerIncarnation.GONE && !life.service().isEmpty()) {
            checker = new CheckerStats(life, now);
            checkers.put(life.id(), checker);
            checkersByPlant
                    .computeIfAbsent(life.service(), plant -> new ArrayList<>())
                    .add(checker);
        }
        if (life.phase() == CheckerIncarnation.GONE && checker != null) {
            CheckerStats gone = checker;
            checkersByPlant.getOrDefault(life.service(), new ArrayList<>()).remove(gone);
            if (gone.inFlight() == 0) {
                checkers.remove(life.id());
            }
        }
        sharesAssigned = false;
    }

    public void onViewChange(SessionView next) {
        view = next;
        sharesAssigned = false;
    }

    /**
     * Gives each proxy of a zone an even run of the slots there, in the order that all agree on. Beside
     * that each may have one request at a checker that it has no part in: all of them where they are few,
     * else those that come first by lot, so that a checker's queue has room for all of it at once.
     */
    private void assignShares() {
        if (sharesAssigned) {
            return;
        }
        sharesAssigned = true;
        for (List<CheckerStats> all : checkersByPlant.values()) {
            all.forEach(checker -> checker.slotShare(0, ranksAmongGuaranteed(checker)));
            Map<String, List<CheckerStats>> byZone = new HashMap<>();
            for (CheckerStats checker : all) {
                if (checker.acceptsRequests()) {
                    byZone.computeIfAbsent(checker.incarnation().zone(), name -> new ArrayList<>())
                            .add(checker);
                }
            }
            byZone.forEach(this::assignShares);
        }
    }

    /** Divides one zone's checkers; those of a zone without proxies belong to all. */
    private void assignShares(String ofZone, List<CheckerStats> checkers) {
        List<ProxySession> takers = view.members().stream()
                .filter(member -> member.zone().equals(ofZone))
                .toList();
        takers = takers.isEmpty() ? view.members() : takers;
        int place = -1;
        for (int i = 0; i < takers.size(); i++) {
            place = takers.get(i).node().equals(node) ? i : place;
        }
        if (place < 0) {
            return;
        }
        double from = (double) place / takers.size();
        double to = (double) (place + 1) / takers.size();
        checkers.sort((one, other) -> one.id().compareTo(other.id()));
        int many = checkers.size();
        for (int i = 0; i < many; i++) {
            double part = Math.min((i + 1.0) / many, to) - Math.max((double) i / many, from);
            checkers.get(i).slotShare(Math.max(0, part) * many, ranksAmongGuaranteed(checkers.get(i)));
        }
    }

    private boolean ranksAmongGuaranteed(CheckerStats checker) {
        if (view.size() <= MAX_PROXIES_ALL_GUARANTEED) {
            return true;
        }
        int mine = rendezvousHash(checker, node);
        int before = 0;
        for (ProxySession member : view.members()) {
            before += rendezvousHash(checker, member.node()) < mine ? 1 : 0;
        }
        return before < GUARANTEED_SLOTS_PER_CHECKER;
    }

    private static int rendezvousHash(CheckerStats checker, String node) {
        int hash = (checker.id().hashCode() * 31 + node.hashCode()) * 0x9E3779B1;
        return (hash ^ hash >>> 15) * 0x85EBCA77;
    }

    public CheckerStats get(String id) {
        return checkers.get(id);
    }

    public boolean isEmpty() {
        return checkers.isEmpty();
    }

    public int size() {
        return checkers.size();
    }

    /** The usual time of a route's requests, as seen here, in microseconds. */
    public double meanLatencyMicros(String route, double otherwise) {
        return meanLatencyByRoute.getOrDefault(route, otherwise);
    }

    /** A request of that route was answered by a checker after so long. */
    public void onResponse(CheckerStats checker, String route, long took, long now) {
        double mean =
                meanLatencyByRoute.merge(route, (double) took, (had, told) -> had + LATENCY_EWMA_WEIGHT * (told - had));
        checker.onResponse(now, took / Math.max(1, mean));
    }

    /** How many connections one checker of a service takes from all proxies together. */
    public void setConnectionLimit(String plant, int connections) {
        connectionLimits.put(plant, connections);
    }

    /**
     * The most that we may have at a checker at once. Where its ceiling is lower than what all may have
     * together, guests have none, and each proxy its part of the ceiling less one; that one is for whoever
     * comes first by lot, so that a checker is never out of reach.
     */
    int maxInFlight(CheckerStats checker) {
        int capacity = checker.incarnation().capacity();
        int ceiling = connectionLimits.getOrDefault(checker.incarnation().service(), Integer.MAX_VALUE);
        int guests = view.size() <= MAX_PROXIES_ALL_GUARANTEED ? view.size() : GUARANTEED_SLOTS_PER_CHECKER;
        if (2 * capacity + 1 + guests > ceiling) {
            int own = (int) ((ceiling - 1) * Math.min(1, checker.slotShare()));
            return Math.min(2 * capacity, ranksFirst(checker) ? own + 1 : own);
        }
        return Math.max(checker.hasGuaranteedSlot() ? 1 : 0, (int) Math.round(2 * capacity * checker.slotShare()));
    }

    private boolean ranksFirst(CheckerStats checker) {
        int mine = rendezvousHash(checker, node);
        return view.members().stream().noneMatch(member -> rendezvousHash(checker, member.node()) < mine);
    }

    /**
     * The checker to send to, or null where all that could take it have what we may send them.
     *
     * @param large    whether many bytes go there, which is better done within the zone
     * @param patience how long one may say nothing before it is doubted, in microseconds
     */
    public CheckerStats choose(String plant, Set<String> but, boolean large, long patience, long now) {
        assignShares();
        CheckerStats best = null;
        double least = Double.MAX_VALUE;
        boolean doubtful = true;
        for (CheckerStats checker : checkersByPlant.getOrDefault(plant, List.of())) {
            if (!checker.acceptsRequests()
                    || but.contains(checker.id())
                    || checker.inFlight() >= maxInFlight(checker)) {
                continue;
            }
            boolean doubt = checker.isSuspect(now, patience);
            double score = score(checker, large, now);
            if (doubt ? doubtful && score < least : doubtful || score < least) {
                best = checker;
                least = score;
                doubtful = doubt;
            }
        }
        return best;
    }

    private double score(CheckerStats checker, boolean large, long now) {
        int slots = checker.incarnation().capacity();
        double others = slots * utilization * (1 - Math.min(1, checker.slotShare()));
        double load = (checker.inFlight() + others) / slots;
        double away = checker.incarnation().zone().equals(zone)
                ? 0
                : large ? REMOTE_ZONE_PENALTY_LARGE_BODY : REMOTE_ZONE_PENALTY;
        return checker.latencyRatio(now)
                * (1 + away)
                * (1 + load * load * load)
                * (1 + SCORE_JITTER * random.nextDouble());
    }

    /** Whether any checker of a service can be had at all, however busy. */
    public boolean hasAvailableChecker(String plant) {
        return checkersByPlant.getOrDefault(plant, List.of()).stream().anyMatch(CheckerStats::acceptsRequests);
    }

    /** Takes note of how busy we are; to be called at an even pace. */
    public void updateUtilization() {
        assignShares();
        double slots = 0;
        int out = 0;
        for (CheckerStats checker : checkers.values()) {
            slots += checker.acceptsRequests() ? checker.incarnation().capacity() * checker.slotShare() : 0;
            out += checker.inFlight();
        }
        utilization += 0.1 * (Math.min(1.5, slots > 0 ? out / slots : 0.5) - utilization);
        checkers.values()
                .removeIf(
                        checker -> checker.incarnation().phase() == CheckerIncarnation.GONE && checker.inFlight() == 0);
    }
}
