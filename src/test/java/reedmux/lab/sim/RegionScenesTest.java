package reedmux.lab.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import reedmux.lab.sim.Ledger.Service;
import reedmux.lab.sim.RegionScenes.Result;
import reedmux.lab.sim.World.LinkFault;
import reedmux.lab.sim.World.Planted;
import reedmux.lab.sim.World.Setup;
import reedmux.region.RegionRules;
import reedmux.region.RegionRules.Away;
import reedmux.region.RegionRules.Visitors;

/** Whole regions in virtual time: the hard cases of a last resort, each brought about. */
final class RegionScenesTest {

    /**
     * Whatever is drawn, every rule holds: one answer each in time, a reject at most once, budgets, one
     * hop.
     */
    @Property(tries = 10_000, seed = "31")
    void shortStormsBreakNoRule(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
        Result result = RegionScenes.storm(seed, 2);
        assertEquals(List.of(), result.faults(), "seed " + seed);
        assertEquals(0, result.copies());
    }

    @Example
    void longStormsBreakNoRule() {
        long rejects = 0;
        long crossed = 0;
        for (long seed = 0; seed < 120; seed++) {
            Result result = RegionScenes.storm(seed, 20);
            assertEquals(List.of(), result.faults(), "seed " + seed);
            rejects += result.rejects();
            crossed += result.services().values().stream()
                    .mapToLong(Service::crossed)
                    .sum();
        }
        assertTrue(rejects > 100_000, "rejects: " + rejects);
        assertTrue(crossed > 10_000, "crossed: " + crossed);
    }

    /** The checkers are no better than what they find: each fault put in round the decisions is found. */
    @ParameterizedTest
    @EnumSource(
            names = {
                "LINK_RESENDS",
                "CLAIMS_NEVER_RAN",
                "ANSWERS_TWICE",
                "FORGETS_ANSWERS",
                "SENDS_VISITORS_ON",
                "WHOLE_BUDGET_EACH"
            })
    void plantedFaultsAreFound(Planted planted) {
        String expected =
                switch (planted) {
                    case LINK_RESENDS -> "runs a second time and must not";
                    case CLAIMS_NEVER_RAN -> "is rejected, but has run";
                    case ANSWERS_TWICE -> "is answered twice";
                    case FORGETS_ANSWERS -> "is never answered";
                    case SENDS_VISITORS_ON -> "travels twice";
                    default -> "units away in";
                };
        for (long seed = 0; seed < 30; seed++) {
            if (RegionScenes.storm(seed, 20, planted).faults().stream().anyMatch(f -> f.contains(expected))) {
                return;
            }
        }
        throw new AssertionError("nobody saw: " + expected);
    }

    @Test
    void theSameSeedGivesTheSameRun() {
        assertEquals(RegionScenes.storm(7, 10), RegionScenes.storm(7, 10));
        assertNotEquals(
                RegionScenes.storm(7, 10).services(), RegionScenes.storm(8, 10).services());
    }

    @Test
    void aLastResortServesWhatOwnProvidersCannotAndHarmsNobody() {
        for (double gone : new double[] {0, 0.5, 0.9, 1}) {
            Result without = RegionScenes.providersGone(3, gone, false);
            Result with = RegionScenes.providersGone(3, gone, true);
            assertEquals(List.of(), with.faults());
            assertEquals(List.of(), without.faults());
            Service east = with.services().get("east");
            assertTrue(east.share() >= without.services().get("east").share(), gone + " " + east);
            assertTrue(
                    gone < 0.9 || east.share() > without.services().get("east").share() + 0.3, gone + "");
            assertTrue(east.mostUnitsInASecond() <= 180, "rate and burst");
            assertEquals(
                    without.services().get("west").share(),
                    with.services().get("west").share(),
                    0.01,
                    "own consumers of the other region come first");
        }
    }

    /** Both overloaded: each takes in nothing, or little, of the other, and nothing goes to and fro. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void twoOverloadedRegionsDoNotPlayBall(long seed) {
        World world = RegionScenes.pair(seed, true, 400, 400);
        world.time.run(World.BEGIN + 20 * World.SECOND);
        assertEquals(List.of(), world.ledger.faults(RegionScenes.budgets("east", "west")));
        for (String region : List.of("east", "west")) {
            long admitted = world.regions.get(region).nodes.stream()
                    .mapToLong(n -> n.regions().admitted())
                    .sum();
            long sent = world.regions.get(region).nodes.stream()
                    .mapToLong(n -> n.regions().sent())
                    .sum();
            assertTrue(sent > 0, "it asks");
            assertTrue(admitted < 40, "and is not asked in: " + admitted);
        }
    }

    /**
     * Three in a ring, all without providers: each request crosses one link at most, and all are
     * answered.
     */
    @Test
    void aRingOfThreePassesNothingRound() {
        List<String> names = List.of("east", "west", "north");
        World world = new World(
                5,
                names.stream()
                        .map(name -> {
                            int at = names.indexOf(name);
                            return new Setup(
                                    name,
                                    RegionScenes.rules(
                                            name,
                                            Set.of(names.get((at + 2) % 3)),
                                            names.get((at + 1) % 3),
                                            2,
                                            RegionScenes.BUDGET),
                                    2,
                                    1,
                                    20);
                        })
                        .toList());
        names.forEach(name -> world.providers(name, 1, SimProvider.Mood.GONE));
        world.time.run(World.BEGIN + 10 * World.SECOND);
        names.forEach(name -> world.regions.get(name).perSecond = 0);
        world.time.run(World.BEGIN + 16 * World.SECOND);
        assertEquals(List.of(), world.ledger.faults(RegionScenes.budgets("east", "west", "north")));
        for (String name : names) {
            Service service = world.ledger.service(name, World.BEGIN);
            assertTrue(service.crossed() > 0, name);
            assertEquals(service.taken(), service.rejected() + service.failed() + service.served(), 5, name);
        }
    }

    /** A region that calls itself otherwise after a restart is taken for a stranger, not for a way round. */
    @Test
    void aRenamedRegionIsAStranger() {
        World world = RegionScenes.pair(6, true, 60, 20);
        world.providers("east", 10, SimProvider.Mood.GONE);
        world.time.run(World.BEGIN + 5 * World.SECOND);
        long before = world.ledger.service("east", World.BEGIN + World.SECOND).served();
        assertTrue(before > 0);
        world.regions.get("east").rules = RegionScenes.renamed(world.regions.get("east").rules);
        for (int i = 0; i < 3; i++) {
            world.restart("east", i, 100 * World.MS);
        }
        world.time.run(World.BEGIN + 15 * World.SECOND);
        assertEquals(
                0, world.ledger.service("east", World.BEGIN + 6 * World.SECOND).served());
        assertEquals(List.of(), world.ledger.faults(RegionScenes.budgets("east", "west")));
    }

    /** A rolling restart under overflow: the budget's bound holds to the unit, as no store starts full. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aRollingRestartMultipliesNoBudget(long seed) {
        World world = RegionScenes.pair(seed, true, 200, 10);
        world.providers("east", 10, SimProvider.Mood.GONE);
        for (int i = 0; i < 40; i++) {
            int number = i % 3;
            world.time.at(
                    World.BEGIN + (2 + i / 2) * World.SECOND, () -> world.restart("east", number, 200 * World.MS));
        }
        world.time.run(World.BEGIN + 25 * World.SECOND);
        assertEquals(List.of(), world.ledger.faults(RegionScenes.budgets("east", "west")));
        assertTrue(world.ledger.crossedAt("east").size() > 100);
    }

    /**
     * Each way in which the link can break, alone and always: a reject runs once at most, all are
     * answered.
     */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void aBrokenLinkCopiesNothing(LinkFault fault) {
        World world = RegionScenes.pair(9, true, 60, 10);
        world.linkFaults[fault.ordinal()] = 1;
        world.providers("east", 10, SimProvider.Mood.GONE);
        world.time.run(World.BEGIN + 10 * World.SECOND);
        world.regions.get("east").perSecond = 0;
        world.time.run(World.BEGIN + 20 * World.SECOND);
        assertEquals(List.of(), world.ledger.faults(RegionScenes.budgets("east", "west")));
        Service east = world.ledger.service("east", World.BEGIN);
        assertTrue(east.crossed() > 5 && east.served() == 0, east.toString());
        boolean certain = fault != LinkFault.BREAKS_AFTER && fault != LinkFault.BREAKS_ANSWERING;
        assertEquals(certain, east.failed() == 0, "a reject that may have run is failed, no other: " + east);
    }

    /**
     * The other region takes rejects and hangs, or dies with them: they fail at home, in time, and stay
     * so.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void theOtherRegionHangsOrDies(boolean dies) {
        World world = RegionScenes.pair(11, true, 60, 0);
        world.providers("east", 10, SimProvider.Mood.GONE);
        world.providers("west", 10, dies ? SimProvider.Mood.WELL : SimProvider.Mood.HANGS);
        if (dies) {
            for (int i = 0; i < 60; i++) {
                int number = i % 3;
                world.time.at(
                        World.BEGIN + (1000 + 100 * i) * World.MS, () -> world.restart("west", number, 60 * World.MS));
            }
        }
        world.time.run(World.BEGIN + 10 * World.SECOND);
        world.regions.get("east").perSecond = 0;
        world.time.run(World.BEGIN + 20 * World.SECOND);
        assertEquals(List.of(), world.ledger.faults(RegionScenes.budgets("east", "west")));
        Service east = world.ledger.service("east", World.BEGIN);
        assertTrue(east.failed() > 0, east.toString());
        assertEquals(east.taken(), east.served() + east.rejected() + east.failed(), 5, east.toString());
    }

    /** When own providers are back, nothing goes away any more within 6 s, and it does not begin anew. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void trafficReturnsAndStays(long seed) {
        long after = RegionScenes.returnsAfter(seed);
        assertTrue(after >= 0 && after <= 6 * World.SECOND, "after " + after + " us");
    }

    /**
     * One of ten is back: it has nearly all the work that it can do within 2 s, and the rest still
     * crosses.
     */
    @Test
    void oneProviderBackIsUsedAtOnce() {
        World world = RegionScenes.pair(8, true, 90, 20);
        world.providers("east", 10, SimProvider.Mood.GONE);
        world.time.run(World.BEGIN + 10 * World.SECOND);
        world.providers("east", 1, SimProvider.Mood.WELL);
        world.time.run(World.BEGIN + 12 * World.SECOND);
        SimProvider back = world.regions.get("east").providers.get("east-s0");
        long before = back.started;
        int crossed = world.ledger.crossedAt("east").size();
        for (int second = 13; second <= 20; second++) {
            long had = back.started;
            world.time.run(World.BEGIN + second * World.SECOND);
            assertTrue(back.started - had >= 8, "no second without: " + (back.started - had));
        }
        assertTrue(back.started - before >= 8 * 20 * 0.7, "of 20 a second: " + (back.started - before));
        assertTrue(world.ledger.crossedAt("east").size() > crossed + 100);
        assertEquals(List.of(), world.ledger.faults(RegionScenes.budgets("east", "west")));
    }

    /**
     * What the quota turns away never travels: without room in it nothing goes, however empty the other
     * is.
     */
    @Test
    void theQuotaIsCountedOnceAndAtHome() {
        Visitors wide = new Visitors(1000, 100_000, 100_000, 0.05, World.SECOND);
        Away away = new Away(
                "west",
                World.gateways("west", 1),
                1,
                100_000,
                100_000,
                1000,
                100 * World.MS,
                20 * World.MS,
                50 * World.MS);
        World world = new World(
                4,
                List.of(
                        new Setup("east", new RegionRules("east", Set.of(), wide, away), 1, 2, 100),
                        new Setup("west", new RegionRules("west", Set.of("east"), wide, null), 1, 400, 0)));
        world.customers = 2;
        world.providers("east", 2, SimProvider.Mood.GONE);
        world.time.run(World.BEGIN + 20 * World.SECOND);
        // Two customers of 30 units a second and 90 at once, who ask for three times as much.
        double most = 2 * (30 * 20 + 90);
        double sent = world.ledger.unitsCrossed("east");
        assertTrue(sent <= most && sent > 0.8 * most, sent + " units of at most " + most);
        double asked = 100 * 20 * 2;
        assertTrue(asked > 2.5 * most, "the quota is what binds");
        assertEquals(List.of(), world.ledger.faults(Map.of()));
    }
}
