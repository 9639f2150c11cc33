package reedmux.choice;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import reedmux.fleet.Incarnation;
import reedmux.member.Session;
import reedmux.member.View;

/**
 * Chooses checkers. Each proxy has a part of the slots of the checkers in its zone, so that of most
 * checkers it knows the whole load; beyond that it estimates what others send by how busy it is itself.
 * What it sends to one is bounded by that part, so that the sum over all proxies never fills a checker's
 * queue. Pure.
 */
public final class Roster {
    private static final double MEMORY = 0.05;
    private static final double AWAY_SMALL = 0.2;
    private static final double AWAY_LARGE = 1.0;
    private static final double LUCK = 0.05;
    /** Up to so many proxies each may have a request at any checker; of more, so many. */
    private static final int FEW = 10;

    private static final int GUESTS = 6;
    private final String node;
    private final String zone;
    private final Random random;
    private final Map<String, Checker> checkers = new LinkedHashMap<>();
    private final Map<String, List<Checker>> byPlant = new HashMap<>();
    private final Map<String, Double> usual = new HashMap<>();
    private final Map<String, Integer> ceilings = new HashMap<>();
    private View view = View.of(List.of());
    private double busy = 0.4;
    private boolean divided;

    public Roster(String node, String zone, long seed) {
        this.node = node;
        this.zone = zone;
        random = new Random(seed);
    }

    /** News of a life. */
    public void told(Incarnation life, long now) {
        Checker checker = checkers.get(life.id());
        if (checker != null) {
            checker.told(life, now);
        } else if (life.phase() != Incarnation.GONE && !life.plant().isEmpty()) {
            checker = new Checker(life, now);
            checkers.put(life.id(), checker);
            byPlant.computeIfAbsent(life.plant(), plant -> new ArrayList<>()).add(checker);
        }
        if (life.phase() == Incarnation.GONE && checker != null) {
            Checker gone = checker;
            byPlant.getOrDefault(life.plant(), new ArrayList<>()).remove(gone);
            if (gone.inFlight() == 0) {
                checkers.remove(life.id());
            }
        }
        divided = false;
    }

    public void view(View next) {
        view = next;
        divided = false;
    }

    /**
     * Gives each proxy of a zone an even run of the slots there, in the order that all agree on. Beside
     * that each may have one request at a checker that it has no part in: all of them where they are few,
     * else those that come first by lot, so that a checker's queue has room for all of it at once.
     */
    private void divide() {
        if (divided) {
            return;
        }
        divided = true;
        for (List<Checker> all : byPlant.values()) {
            all.forEach(checker -> checker.part(0, guest(checker)));
            Map<String, List<Checker>> byZone = new HashMap<>();
            for (Checker checker : all) {
                if (checker.takes()) {
                    byZone.computeIfAbsent(checker.life().zone(), name -> new ArrayList<>())
                            .add(checker);
                }
            }
            byZone.forEach(this::divide);
        }
    }

    /** Divides one zone's checkers; those of a zone without proxies belong to all. */
    private void divide(String ofZone, List<Checker> checkers) {
        List<Session> takers = view.members().stream()
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
            checkers.get(i).part(Math.max(0, part) * many, guest(checkers.get(i)));
        }
    }

    private boolean guest(Checker checker) {
        if (view.size() <= FEW) {
            return true;
        }
        int mine = lot(checker, node);
        int before = 0;
        for (Session member : view.members()) {
            before += lot(checker, member.node()) < mine ? 1 : 0;
        }
        return before < GUESTS;
    }

    private static int lot(Checker checker, String node) {
        int hash = (checker.id().hashCode() * 31 + node.hashCode()) * 0x9E3779B1;
        return (hash ^ hash >>> 15) * 0x85EBCA77;
    }

    public Checker get(String id) {
        return checkers.get(id);
    }

    public boolean empty() {
        return checkers.isEmpty();
    }

    public int size() {
        return checkers.size();
    }

    /** The usual time of a route's requests, as seen here, in microseconds. */
    public double usual(String route, double otherwise) {
        return usual.getOrDefault(route, otherwise);
    }

    /** A request of that route was answered by a checker after so long. */
    public void answered(Checker checker, String route, long took, long now) {
        double mean = usual.merge(route, (double) took, (had, told) -> had + MEMORY * (told - had));
        checker.answered(now, took / Math.max(1, mean));
    }

    /** How many connections one checker of a service takes from all proxies together. */
    public void ceiling(String plant, int connections) {
        ceilings.put(plant, connections);
    }

    /**
     * The most that we may have at a checker at once. Where its ceiling is lower than what all may have
     * together, guests have none, and each proxy its part of the ceiling less one; that one is for whoever
     * comes first by lot, so that a checker is never out of reach.
     */
    int most(Checker checker) {
        int capacity = checker.life().capacity();
        int ceiling = ceilings.getOrDefault(checker.life().plant(), Integer.MAX_VALUE);
        int guests = view.size() <= FEW ? view.size() : GUESTS;
        if (2 * capacity + 1 + guests > ceiling) {
            int own = (int) ((ceiling - 1) * Math.min(1, checker.part()));
            return Math.min(2 * capacity, first(checker) ? own + 1 : own);
        }
        return Math.max(checker.guest() ? 1 : 0, (int) Math.round(2 * capacity * checker.part()));
    }

    private boolean first(Checker checker) {
        int mine = lot(checker, node);
        return view.members().stream().noneMatch(member -> lot(checker, member.node()) < mine);
    }

    /**
     * The checker to send to, or null where all that could take it have what we may send them.
     *
     * @param large    whether many bytes go there, which is better done within the zone
     * @param patience how long one may say nothing before it is doubted, in microseconds
     */
    public Checker choose(String plant, Set<String> but, boolean large, long patience, long now) {
        divide();
        Checker best = null;
        double least = Double.MAX_VALUE;
        boolean doubtful = true;
        for (Checker checker : byPlant.getOrDefault(plant, List.of())) {
            if (!checker.takes() || but.contains(checker.id()) || checker.inFlight() >= most(checker)) {
                continue;
            }
            boolean doubt = checker.doubtful(now, patience);
            double score = score(checker, large, now);
            if (doubt ? doubtful && score < least : doubtful || score < least) {
                best = checker;
                least = score;
                doubtful = doubt;
            }
        }
        return best;
    }

    private double score(Checker checker, boolean large, long now) {
        int slots = checker.life().capacity();
        double others = slots * busy * (1 - Math.min(1, checker.part()));
        double load = (checker.inFlight() + others) / slots;
        double away = checker.life().zone().equals(zone) ? 0 : large ? AWAY_LARGE : AWAY_SMALL;
        return checker.pace(now) * (1 + away) * (1 + load * load * load) * (1 + LUCK * random.nextDouble());
    }

    /** Whether any checker of a service can be had at all, however busy. */
    public boolean serves(String plant) {
        return byPlant.getOrDefault(plant, List.of()).stream().anyMatch(Checker::takes);
    }

    /** Takes note of how busy we are; to be called at an even pace. */
    public void look() {
        divide();
        double slots = 0;
        int out = 0;
        for (Checker checker : checkers.values()) {
            slots += checker.takes() ? checker.life().capacity() * checker.part() : 0;
            out += checker.inFlight();
        }
        busy += 0.1 * (Math.min(1.5, slots > 0 ? out / slots : 0.5) - busy);
        checkers.values().removeIf(checker -> checker.life().phase() == Incarnation.GONE && checker.inFlight() == 0);
    }
}
