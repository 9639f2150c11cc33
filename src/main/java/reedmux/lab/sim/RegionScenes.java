package reedmux.lab.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import reedmux.lab.rules.RuleChecker.Budget;
import reedmux.lab.sim.Ledger.Service;
import reedmux.lab.sim.World.Setup;
import reedmux.region.RegionRules;
import reedmux.region.RegionRules.Away;
import reedmux.region.RegionRules.Visitors;

/** Scenes of regions in virtual time, for tests and for measurements. */
public final class RegionScenes {
    /** What the tables and tests use unless they say otherwise. */
    static final Budget BUDGET = new Budget(1, 60, 120);

    private static final int GATEKEEPERS = 3;
    private static final int PROVIDERS = 10;
    /** Requests a second of one region: about half of what its providers can do. */
    private static final double LOAD = 90;

    private RegionScenes() {}

    static Visitors visitors() {
        return new Visitors(24, 120, 240, 0.02, World.SECOND);
    }

    static RegionRules rules(String name, Set<String> takesFrom, String to, int gateways, Budget budget) {
        return new RegionRules(
                name,
                takesFrom,
                visitors(),
                to == null
                        ? null
                        : new Away(
                                to,
                                World.gateways(to, gateways),
                                budget.share(),
                                budget.rate(),
                                budget.burst(),
                                48,
                                100 * World.MS,
                                20 * World.MS,
                                50 * World.MS));
    }

    /**
     * What a run shows.
     *
     * @param name     the scene
     * @param seed     its only chance
     * @param services by region
     * @param faults   rules broken, or nothing
     * @param rejects  requests that must not run twice
     * @param copies   second runs of such
     */
    public record Result(
            String name, long seed, Map<String, Service> services, List<String> faults, long rejects, long copies) {}

    private static Result result(String name, long seed, World world, Map<String, Budget> budgets, long from) {
        Map<String, Service> services = new TreeMap<>();
        world.regions.keySet().forEach(region -> services.put(region, world.ledger.service(region, from)));
        return new Result(
                name,
                seed,
                services,
                world.ledger.faults(budgets),
                world.ledger.mustNotRepeat(),
                world.ledger.copies());
    }

    /** Two regions, each the other's last resort or neither. */
    static World pair(long seed, boolean lastResort, double eastLoad, double westLoad) {
        return new World(
                seed,
                List.of(
                        new Setup(
                                "east",
                                lastResort ? rules("east", Set.of("west"), "west", GATEKEEPERS, BUDGET) : null,
                                GATEKEEPERS,
                                PROVIDERS,
                                eastLoad),
                        new Setup(
                                "west",
                                lastResort ? rules("west", Set.of("east"), "east", GATEKEEPERS, BUDGET) : null,
                                GATEKEEPERS,
                                PROVIDERS,
                                westLoad)));
    }

    static Map<String, Budget> budgets(String... regions) {
        Map<String, Budget> all = new TreeMap<>();
        for (String region : regions) {
            all.put(region, BUDGET);
        }
        return all;
    }

    /**
     * A share of east's providers goes at 5 s and is back at 25 s; counted from 6 s on, when all know it.
     *
     * @param goneShare  from 0 to 1
     * @param lastResort whether west is east's last resort, and east west's
     */
    public static Result providersGone(long seed, double goneShare, boolean lastResort) {
        World world = pair(seed, lastResort, LOAD, LOAD / 2);
        world.time.at(
                World.BEGIN + 5 * World.SECOND,
                () -> world.providers("east", (int) Math.round(goneShare * PROVIDERS), SimProvider.Mood.GONE));
        world.time.run(World.BEGIN + 25 * World.SECOND);
        return result(
                "gone " + Math.round(goneShare * 100) + "%",
                seed,
                world,
                lastResort ? budgets("east", "west") : Map.of(),
                World.BEGIN + 6 * World.SECOND);
    }

    static RegionRules renamed(RegionRules rules) {
        return new RegionRules(rules.name() + "-2", rules.takesFrom(), rules.visitors(), rules.away());
    }

    /** All of east's providers go and come back; returns in microseconds when the last request crossed. */
    public static long returnsAfter(long seed) {
        World world = pair(seed, true, LOAD, LOAD / 2);
        long back = World.BEGIN + 20 * World.SECOND;
        world.time.at(World.BEGIN + 5 * World.SECOND, () -> world.providers("east", PROVIDERS, SimProvider.Mood.GONE));
        world.time.at(back, () -> world.providers("east", PROVIDERS, SimProvider.Mood.WELL));
        world.time.run(back + 20 * World.SECOND);
        List<Long> crossed = world.ledger.crossedAt("east");
        return crossed.isEmpty() ? -1 : Math.max(0, crossed.get(crossed.size() - 1) - back);
    }

    /**
     * East has no providers and west is asked for nearly all that it can do: how west's own consumers fare.
     *
     * @param lastResort whether east may send there at all
     * @param first      whether west's own come first, or its intake is blind to how they fare
     */
    public static Result pressed(long seed, boolean lastResort, boolean first) {
        Visitors told = visitors();
        Visitors open =
                new Visitors(told.mostAtOnce(), told.rate(), told.burst(), first ? told.suffersAt() : 1, told.hold());
        World world = new World(
                seed,
                List.of(
                        new Setup(
                                "east",
                                lastResort ? rules("east", Set.of(), "west", GATEKEEPERS, BUDGET) : null,
                                GATEKEEPERS,
                                PROVIDERS,
                                LOAD),
                        new Setup(
                                "west",
                                new RegionRules("west", Set.of("east"), open, null),
                                GATEKEEPERS,
                                PROVIDERS,
                                2 * LOAD)));
        world.providers("east", PROVIDERS, SimProvider.Mood.GONE);
        world.time.run(World.BEGIN + 20 * World.SECOND);
        return result("pressed", seed, world, lastResort ? budgets("east") : Map.of(), World.BEGIN + 2 * World.SECOND);
    }

    /**
     * Everything at once, drawn by the seed: both regions overloaded by turns, links that break in each way,
     * gatekeepers that die, providers in every mood, reloads.
     *
     * @param seconds of virtual time
     */
    public static Result storm(long seed, int seconds) {
        return storm(seed, seconds, World.Planted.NOTHING);
    }

    static Result storm(long seed, int seconds, World.Planted planted) {
        UniformRandomProvider random = World.stream(seed, 99);
        List<String> names = List.of("east", "west", "north").subList(0, 2 + random.nextInt(2));
        int ring = names.size();
        int[] members = new int[ring];
        Map<String, Budget> budgets = new TreeMap<>();
        for (int i = 0; i < ring; i++) {
            members[i] = 1 + random.nextInt(3);
            budgets.put(
                    names.get(i),
                    new Budget(0.2 + 0.8 * random.nextDouble(), 10 + random.nextInt(60), 24 + random.nextInt(100)));
        }
        List<Setup> setups = new ArrayList<>();
        for (int i = 0; i < ring; i++) { // each is the last resort of the one before it
            String name = names.get(i);
            int next = (i + 1) % ring;
            setups.add(new Setup(
                    name,
                    rules(
                            name,
                            Set.of(names.get((i + ring - 1) % ring)),
                            names.get(next),
                            members[next],
                            budgets.get(name)),
                    members[i],
                    3,
                    30 + random.nextInt(60)));
        }
        World world = new World(seed, setups, planted);
        world.linkFaults = new double[] {0, 0.04, 0.04, 0.06, 0.06, 0.06};
        long end = World.BEGIN + seconds * World.SECOND;
        for (long at = World.BEGIN + World.SECOND; at < end; at += 200 * World.MS + random.nextLong(World.SECOND)) {
            String region = names.get(random.nextInt(ring));
            int what = random.nextInt(10);
            int count = random.nextInt(4);
            SimProvider.Mood mood = SimProvider.Mood.values()[random.nextInt(6)];
            long away = 300 * World.MS + random.nextLong(2 * World.SECOND);
            world.time.at(at, () -> {
                World.Region of = world.regions.get(region);
                if (what < 5) {
                    world.providers(region, 3, SimProvider.Mood.WELL);
                    world.providers(region, count, mood);
                } else if (what < 8) {
                    world.restart(region, count % of.nodes.size(), away);
                } else if (what == 8) {
                    world.reload(region, of.rules);
                } else if (what == 9 && count == 0) {
                    of.rules = renamed(of.rules); // known to those that restart from now on
                } else {
                    of.perSecond = 20 + 100 * (count / 3.0);
                }
            });
        }
        world.time.run(end);
        world.regions.values().forEach(region -> region.perSecond = 0);
        world.time.run(end + 10 * World.SECOND); // all that was taken is answered by then
        return result("storm", seed, world, budgets, World.BEGIN);
    }
}
