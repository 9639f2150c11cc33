package reedmux.simulation.region;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import reedmux.gatekeeper.failover.FailoverRules;
import reedmux.gatekeeper.failover.FailoverRules.FailoverTarget;
import reedmux.gatekeeper.failover.FailoverRules.RemoteRequestLimits;
import reedmux.simulation.invariants.HistoryChecker.ForwardingBudget;
import reedmux.simulation.region.RequestLedger.RegionService;

/** Scenes of regions in virtual time, for tests and for measurements. */
public final class RegionScenarios {
    /** What the tables and tests use unless they say otherwise. */
    static final ForwardingBudget BUDGET = new ForwardingBudget(1, 60, 120);

    private static final int GATEKEEPERS = 3;
    private static final int PROVIDERS = 10;
    /** Requests a second of one region: about half of what its providers can do. */
    private static final double LOAD = 90;

    private RegionScenarios() {}

    static RemoteRequestLimits visitors() {
        return new RemoteRequestLimits(24, 120, 240, 0.02, RegionWorld.SECOND);
    }

    static FailoverRules rules(String name, Set<String> takesFrom, String to, int gateways, ForwardingBudget budget) {
        return new FailoverRules(
                name,
                takesFrom,
                visitors(),
                to == null
                        ? null
                        : new FailoverTarget(
                                to,
                                RegionWorld.gatewayNames(to, gateways),
                                budget.share(),
                                budget.rate(),
                                budget.burst(),
                                48,
                                100 * RegionWorld.MILLISECOND,
                                20 * RegionWorld.MILLISECOND,
                                50 * RegionWorld.MILLISECOND));
    }

    /**
     * What a run shows.
     *
     * @param name           the scenario
     * @param seed           its only source of randomness
     * @param services       by region
     * @param violations     of the rules
     * @param unsafeRequests requests that must not run twice
     * @param duplicateRuns  second runs of such
     */
    public record RegionRun(
            String name,
            long seed,
            Map<String, RegionService> services,
            List<String> violations,
            long unsafeRequests,
            long duplicateRuns) {}

    private static RegionRun result(
            String name, long seed, RegionWorld world, Map<String, ForwardingBudget> budgets, long from) {
        Map<String, RegionService> services = new TreeMap<>();
        world.regions.keySet().forEach(region -> services.put(region, world.ledger.service(region, from)));
        return new RegionRun(
                name,
                seed,
                services,
                world.ledger.violations(budgets),
                world.ledger.unsafeRequests(),
                world.ledger.duplicateRuns());
    }

    /** Two regions, each the other's last resort or neither. */
    static RegionWorld pair(long seed, boolean lastResort, double eastLoad, double westLoad) {
        return new RegionWorld(
                seed,
                List.of(
                        new RegionSetup(
                                "east",
                                lastResort ? rules("east", Set.of("west"), "west", GATEKEEPERS, BUDGET) : null,
                                GATEKEEPERS,
                                PROVIDERS,
                                eastLoad),
                        new RegionSetup(
                                "west",
                                lastResort ? rules("west", Set.of("east"), "east", GATEKEEPERS, BUDGET) : null,
                                GATEKEEPERS,
                                PROVIDERS,
                                westLoad)));
    }

    static Map<String, ForwardingBudget> budgets(String... regions) {
        Map<String, ForwardingBudget> all = new TreeMap<>();
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
    public static RegionRun providersGone(long seed, double goneShare, boolean lastResort) {
        RegionWorld world = pair(seed, lastResort, LOAD, LOAD / 2);
        world.timeline.at(
                RegionWorld.BEGIN_MICROS + 5 * RegionWorld.SECOND,
                () -> world.setBehavior(
                        "east", (int) Math.round(goneShare * PROVIDERS), SimulatedProvider.ProviderBehavior.GONE));
        world.timeline.runUntil(RegionWorld.BEGIN_MICROS + 25 * RegionWorld.SECOND);
        return result(
                "gone " + Math.round(goneShare * 100) + "%",
                seed,
                world,
                lastResort ? budgets("east", "west") : Map.of(),
                RegionWorld.BEGIN_MICROS + 6 * RegionWorld.SECOND);
    }

    static FailoverRules renamed(FailoverRules rules) {
        return new FailoverRules(rules.name() + "-2", rules.acceptsFrom(), rules.remoteLimits(), rules.target());
    }

    /** All of east's providers go and come back; returns in microseconds when the last request crossed. */
    public static long returnsAfter(long seed) {
        RegionWorld world = pair(seed, true, LOAD, LOAD / 2);
        long back = RegionWorld.BEGIN_MICROS + 20 * RegionWorld.SECOND;
        world.timeline.at(
                RegionWorld.BEGIN_MICROS + 5 * RegionWorld.SECOND,
                () -> world.setBehavior("east", PROVIDERS, SimulatedProvider.ProviderBehavior.GONE));
        world.timeline.at(back, () -> world.setBehavior("east", PROVIDERS, SimulatedProvider.ProviderBehavior.WELL));
        world.timeline.runUntil(back + 20 * RegionWorld.SECOND);
        List<Long> crossed = world.ledger.forwardTimes("east");
        return crossed.isEmpty() ? -1 : Math.max(0, crossed.get(crossed.size() - 1) - back);
    }

    /**
     * East has no providers and west is asked for nearly all that it can do: how west's own consumers fare.
     *
     * @param lastResort whether east may send there at all
     * @param first      whether west's own come first, or its intake is blind to how they fare
     */
    public static RegionRun pressed(long seed, boolean lastResort, boolean first) {
        RemoteRequestLimits told = visitors();
        RemoteRequestLimits open = new RemoteRequestLimits(
                told.maxConcurrent(),
                told.unitsPerSecond(),
                told.burstUnits(),
                first ? told.closeAtFailureRate() : 1,
                told.minBackoffMicros());
        RegionWorld world = new RegionWorld(
                seed,
                List.of(
                        new RegionSetup(
                                "east",
                                lastResort ? rules("east", Set.of(), "west", GATEKEEPERS, BUDGET) : null,
                                GATEKEEPERS,
                                PROVIDERS,
                                LOAD),
                        new RegionSetup(
                                "west",
                                new FailoverRules("west", Set.of("east"), open, null),
                                GATEKEEPERS,
                                PROVIDERS,
                                2 * LOAD)));
        world.setBehavior("east", PROVIDERS, SimulatedProvider.ProviderBehavior.GONE);
        world.timeline.runUntil(RegionWorld.BEGIN_MICROS + 20 * RegionWorld.SECOND);
        return result(
                "pressed",
                seed,
                world,
                lastResort ? budgets("east") : Map.of(),
                RegionWorld.BEGIN_MICROS + 2 * RegionWorld.SECOND);
    }

    /**
     * Everything at once, drawn by the seed: both regions overloaded by turns, links that break in each way,
     * gatekeepers that die, providers in every mood, reloads.
     *
     * @param seconds of virtual time
     */
    public static RegionRun storm(long seed, int seconds) {
        return storm(seed, seconds, RegionWorld.InjectedFault.NOTHING);
    }

    static RegionRun storm(long seed, int seconds, RegionWorld.InjectedFault planted) {
        UniformRandomProvider random = RegionWorld.stream(seed, 99);
        List<String> names = List.of("east", "west", "north").subList(0, 2 + random.nextInt(2));
        int ring = names.size();
        int[] members = new int[ring];
        Map<String, ForwardingBudget> budgets = new TreeMap<>();
        for (int i = 0; i < ring; i++) {
            members[i] = 1 + random.nextInt(3);
            budgets.put(
                    names.get(i),
                    new ForwardingBudget(
                            0.2 + 0.8 * random.nextDouble(), 10 + random.nextInt(60), 24 + random.nextInt(100)));
        }
        List<RegionSetup> setups = new ArrayList<>();
        for (int i = 0; i < ring; i++) { // each is the last resort of the one before it
            String name = names.get(i);
            int next = (i + 1) % ring;
            setups.add(new RegionSetup(
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
        RegionWorld world = new RegionWorld(seed, setups, planted);
        world.linkFaults = new double[] {0, 0.04, 0.04, 0.06, 0.06, 0.06};
        long end = RegionWorld.BEGIN_MICROS + seconds * RegionWorld.SECOND;
        for (long at = RegionWorld.BEGIN_MICROS + RegionWorld.SECOND;
                at < end;
                at += 200 * RegionWorld.MILLISECOND + random.nextLong(RegionWorld.SECOND)) {
            String region = names.get(random.nextInt(ring));
            int what = random.nextInt(10);
            int count = random.nextInt(4);
            SimulatedProvider.ProviderBehavior mood = SimulatedProvider.ProviderBehavior.values()[random.nextInt(6)];
            long away = 300 * RegionWorld.MILLISECOND + random.nextLong(2 * RegionWorld.SECOND);
            world.timeline.at(at, () -> {
                SimulatedRegion of = world.regions.get(region);
                if (what < 5) {
                    world.setBehavior(region, 3, SimulatedProvider.ProviderBehavior.WELL);
                    world.setBehavior(region, count, mood);
                } else if (what < 8) {
                    world.restartGatekeeper(region, count % of.gatekeepers.size(), away);
                } else if (what == 8) {
                    world.reloadRules(region, of.rules);
                } else if (what == 9 && count == 0) {
                    of.rules = renamed(of.rules); // known to those that restart from now on
                } else {
                    of.perSecond = 20 + 100 * (count / 3.0);
                }
            });
        }
        world.timeline.runUntil(end);
        world.regions.values().forEach(region -> region.perSecond = 0);
        world.timeline.runUntil(end + 10 * RegionWorld.SECOND); // all that was taken is answered by then
        return result("storm", seed, world, budgets, RegionWorld.BEGIN_MICROS);
    }
}
