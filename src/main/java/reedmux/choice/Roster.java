package reedmux.choice;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import reedmux.fleet.Life;
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
    private final String node;
    private final String zone;
    private final Random random;
    private final Map<String, Checker> checkers = new LinkedHashMap<>();
    private final Map<String, List<Checker>> byPlant = new HashMap<>();
    private final Map<String, Double> usual = new HashMap<>();
    private View view = View.of(List.of());
    private double busy = 0.4;

    public Roster(String node, String zone, long seed) {
        this.node = node;
        this.zone = zone;
        random = new Random(seed);
    }

    /** News of a life. */
    public void told(Life life, long now) {
        Checker checker = checkers.get(life.id());
        if (checker != null) {
            checker.told(life, now);
        } else if (life.phase() != Life.GONE && !life.plant().isEmpty()) {
            checker = new Checker(life, now);
            checkers.put(life.id(), checker);
            byPlant.computeIfAbsent(life.plant(), plant -> new ArrayList<>()).add(checker);
        }
        if (life.phase() == Life.GONE && checker != null) {
            Checker gone = checker;
            byPlant.getOrDefault(life.plant(), new ArrayList<>()).remove(gone);
            if (gone.inFlight() == 0) {
                checkers.remove(life.id());
            }
        }
        divide();
    }

    public void view(View next) {
        view = next;
        divide();
    }

    /** Gives each proxy of a zone an even run of the slots there, in the order that all agree on. */
    private void divide() {
        List<Session> here = view.members().stream().filter(member -> member.zone().equals(zone)).toList();
        int place = -1;
        for (int i = 0; i < here.size(); i++) {
            place = here.get(i).node().equals(node) ? i : place;
        }
        double from = place < 0 ? 0 : (double) place / here.size();
        double to = place < 0 ? 0 : (double) (place + 1) / here.size();
        for (List<Checker> all : byPlant.values()) {
            List<Checker> near = all.stream().filter(checker -> checker.life().zone().equals(zone)
                    && checker.takes()).sorted(Comparator.comparing(Checker::id)).toList();
            all.forEach(checker -> checker.part(0));
            for (int i = 0; i < near.size(); i++) {
                double low = (double) i / near.size();
                double high = (double) (i + 1) / near.size();
                near.get(i).part(Math.max(0, Math.min(high, to) - Math.max(low, from)) * near.size());
            }
        }
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

    /** The most that we may have at a checker at once. */
    private static int most(Checker checker) {
        return Math.max(1, (int) Math.round(2 * checker.life().capacity() * checker.part()));
    }

    /**
     * The checker to send to, or null where all that could take it have what we may send them.
     *
     * @param large    whether many bytes go there, which is better done within the zone
     * @param patience how long one may say nothing before it is doubted, in microseconds
     */
    public Checker choose(String plant, Set<String> but, boolean large, long patience, long now) {
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
        double slots = 0;
        int out = 0;
        for (Checker checker : checkers.values()) {
            slots += checker.takes() ? checker.life().capacity() * checker.part() : 0;
            out += checker.inFlight();
        }
        busy += 0.1 * (Math.min(1.5, slots > 0 ? out / slots : 0.5) - busy);
        checkers.values().removeIf(checker -> checker.life().phase() == Life.GONE && checker.inFlight() == 0);
    }
}
