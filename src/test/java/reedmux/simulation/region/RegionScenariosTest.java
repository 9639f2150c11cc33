package reedmux.simulation.region;

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
import reedmux.gatekeeper.failover.FailoverRules;
import reedmux.gatekeeper.failover.FailoverRules.FailoverTarget;
import reedmux.gatekeeper.failover.FailoverRules.RemoteRequestLimits;
import reedmux.simulation.region.RegionScenarios.RegionRun;
import reedmux.simulation.region.RegionWorld.InjectedFault;
import reedmux.simulation.region.RegionWorld.LinkFault;
import reedmux.simulation.region.RequestLedger.RegionService;

/** Whole regions in virtual time: the hard cases of a last resort, each brought about. */
final class RegionScenariosTest {

    /**
     * Whatever is drawn, every rule holds: one answer each in time, a reject at most once, budgets, one
     * hop.
     */
    @Property(tries = 10_000, seed = "31")
    void shortStormsBreakNoRule(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
        RegionRun result = RegionScenarios.storm(seed, 2);
        assertEquals(List.of(), result.violations(), "seed " + seed);
        assertEquals(0, result.duplicateRuns());
    }

    @Example
    void longStormsBreakNoRule() {
        long rejects = 0;
        long crossed = 0;
        for (long seed = 0; seed < 120; seed++) {
            RegionRun result = RegionScenarios.storm(seed, 20);
            assertEquals(List.of(), result.violations(), "seed " + seed);
            rejects += result.unsafeRequests();
            crossed += result.services().values().stream()
                    .mapToLong(RegionService::forwarded)
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
    void plantedFaultsAreFound(InjectedFault planted) {
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
            if (RegionScenarios.storm(seed, 20, planted).violations().stream().anyMatch(f -> f.contains(expected))) {
                return;
            }
        }
        throw new AssertionError("nobody saw: " + expected);
    }

    @Test
    void theSameSeedGivesTheSameRun() {
        assertEquals(RegionScenarios.storm(7, 10), RegionScenarios.storm(7, 10));
        assertNotEquals(
                RegionScenarios.storm(7, 10).services(),
                RegionScenarios.storm(8, 10).services());
    }

    @Test
    void aLastResortServesWhatOwnProvidersCannotAndHarmsNobody() {
        for (double gone : new double[] {0, 0.5, 0.9, 1}) {
            RegionRun without = RegionScenarios.providersGone(3, gone, false);
            RegionRun with = RegionScenarios.providersGone(3, gone, true);
            assertEquals(List.of(), with.violations());
            assertEquals(List.of(), without.violations());
            RegionService east = with.services().get("east");
            assertTrue(east.share() >= without.services().get("east").share(), gone + " " + east);
            assertTrue(
                    gone < 0.9 || east.share() > without.services().get("east").share() + 0.3, gone + "");
            assertTrue(east.maxUnitsPerSecond() <= 180, "rate and burst");
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
        RegionWorld world = RegionScenarios.pair(seed, true, 400, 400);
        world.timeline.runUntil(RegionWorld.BEGIN_MICROS + 20 * RegionWorld.SECOND);
        assertEquals(List.of(), world.ledger.violations(RegionScenarios.budgets("east", "west")));
        for (String region : List.of("east", "west")) {
            long admitted = world.regions.get(region).gatekeepers.stream()
                    .mapToLong(n -> n.regions().admittedCount())
                    .sum();
            long sent = world.regions.get(region).gatekeepers.stream()
                    .mapToLong(n -> n.regions().forwardedCount())
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
        RegionWorld world = new RegionWorld(
                5,
                names.stream()
                        .map(name -> {
                            int at = names.indexOf(name);
                            return new RegionSetup(
                                    name,
                                    RegionScenarios.rules(
                                            name,
                                            Set.of(names.get((at + 2) % 3)),
                                            names.get((at + 1) % 3),
                                            2,
                                            RegionScenarios.BUDGET),
                                    2,
                                    1,
                                    20);
                        })
                        .toList());
        names.forEach(name -> world.setBehavior(name, 1, SimulatedProvider.ProviderBehavior.GONE));
        world.timeline.runUntil(RegionWorld.BEGIN_MICROS + 10 * RegionWorld.SECOND);
        names.forEach(name -> world.regions.get(name).perSecond = 0);
        world.timeline.runUntil(RegionWorld.BEGIN_MICROS + 16 * RegionWorld.SECOND);
        assertEquals(List.of(), world.ledger.violations(RegionScenarios.budgets("east", "west", "north")));
        for (String name : names) {
            RegionService service = world.ledger.service(name, RegionWorld.BEGIN_MICROS);
            assertTrue(service.forwarded() > 0, name);
            assertEquals(service.accepted(), service.rejected() + service.failed() + service.served(), 5, name);
        }
    }

    /** A region that calls itself otherwise after a restart is taken for a stranger, not for a way round. */
    @Test
    void aRenamedRegionIsAStranger() {
        RegionWorld world = RegionScenarios.pair(6, true, 60, 20);
        world.setBehavior("east", 10, SimulatedProvider.ProviderBehavior.GONE);
        world.timeline.runUntil(RegionWorld.BEGIN_MICROS + 5 * RegionWorld.SECOND);
        long before = world.ledger
                .service("east", RegionWorld.BEGIN_MICROS + RegionWorld.SECOND)
                .served();
        assertTrue(before > 0);
        world.regions.get("east").rules = RegionScenarios.renamed(world.regions.get("east").rules);
        for (int i = 0; i < 3; i++) {
            world.restartGatekeeper("east", i, 100 * RegionWorld.MILLISECOND);
        }
        world.timeline.runUntil(RegionWorld.BEGIN_MICROS + 15 * RegionWorld.SECOND);
        assertEquals(
                0,
                world.ledger
                        .service("east", RegionWorld.BEGIN_MICROS + 6 * RegionWorld.SECOND)
                        .served());
        assertEquals(List.of(), world.ledger.violations(RegionScenarios.budgets("east", "west")));
    }

    /** A rolling restart under overflow: the budget's bound holds to the unit, as no store starts full. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aRollingRestartMultipliesNoBudget(long seed) {
        RegionWorld world = RegionScenarios.pair(seed, true, 200, 10);
        world.setBehavior("east", 10, SimulatedProvider.ProviderBehavior.GONE);
        for (int i = 0; i < 40; i++) {
            int number = i % 3;
            world.timeline.at(
                    RegionWorld.BEGIN_MICROS + (2 + i / 2) * RegionWorld.SECOND,
                    () -> world.restartGatekeeper("east", number, 200 * RegionWorld.MILLISECOND));
        }
        world.timeline.runUntil(RegionWorld.BEGIN_MICROS + 25 * RegionWorld.SECOND);
        assertEquals(List.of(), world.ledger.violations(RegionScenarios.budgets("east", "west")));
        assertTrue(world.ledger.forwardTimes("east").size() > 100);
    }

    /**
     * Each way in which the link can break, alone and always: a reject runs once at most, all are
     * answered.
     */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void aBrokenLinkCopiesNothing(LinkFault fault) {
        RegionWorld world = RegionScenarios.pair(9, true, 60, 10);
        world.linkFaults[fault.ordinal()] = 1;
        world.setBehavior("east", 10, SimulatedProvider.ProviderBehavior.GONE);
        world.timeline.runUntil(RegionWorld.BEGIN_MICROS + 10 * RegionWorld.SECOND);
        world.regions.get("east").perSecond = 0;
        world.timeline.runUntil(RegionWorld.BEGIN_MICROS + 20 * RegionWorld.SECOND);
        assertEquals(List.of(), world.ledger.violations(RegionScenarios.budgets("east", "west")));
        RegionService east = world.ledger.service("east", RegionWorld.BEGIN_MICROS);
        assertTrue(east.forwarded() > 5 && east.served() == 0, east.toString());
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
        RegionWorld world = RegionScenarios.pair(11, true, 60, 0);
        world.setBehavior("east", 10, SimulatedProvider.ProviderBehavior.GONE);
        world.setBehavior(
                "west", 10, dies ? SimulatedProvider.ProviderBehavior.WELL : SimulatedProvider.ProviderBehavior.HANGS);
        if (dies) {
            for (int i = 0; i < 60; i++) {
                int number = i % 3;
                world.timeline.at(
                        RegionWorld.BEGIN_MICROS + (1000 + 100 * i) * RegionWorld.MILLISECOND,
                        () -> world.restartGatekeeper("west", number, 60 * RegionWorld.MILLISECOND));
            }
        }
        world.timeline.runUntil(RegionWorld.BEGIN_MICROS + 10 * RegionWorld.SECOND);
        world.regions.get("east").perSecond = 0;
        world.timeline.runUntil(RegionWorld.BEGIN_MICROS + 20 * RegionWorld.SECOND);
        assertEquals(List.of(), world.ledger.violations(RegionScenarios.budgets("east", "west")));
        RegionService east = world.ledger.service("east", RegionWorld.BEGIN_MICROS);
        assertTrue(east.failed() > 0, east.toString());
        assertEquals(east.accepted(), east.served() + east.rejected() + east.failed(), 5, east.toString());
    }

    /** When own providers are back, nothing goes away any more within 6 s, and it does not begin anew. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void trafficReturnsAndStays(long seed) {
        long after = RegionScenarios.returnsAfter(seed);
        assertTrue(after >= 0 && after <= 6 * RegionWorld.SECOND, "after " + after + " us");
    }

    /**
     * One of ten is back: it has nearly all the work that it can do within 2 s, and the rest still
     * crosses.
     */
    @Test
    void oneProviderBackIsUsedAtOnce() {
        RegionWorld world = RegionScenarios.pair(8, true, 90, 20);
        world.setBehavior("east", 10, SimulatedProvider.ProviderBehavior.GONE);
        world.timeline.runUntil(RegionWorld.BEGIN_MICROS + 10 * RegionWorld.SECOND);
        world.setBehavior("east", 1, SimulatedProvider.ProviderBehavior.WELL);
        world.timeline.runUntil(RegionWorld.BEGIN_MICROS + 12 * RegionWorld.SECOND);
        SimulatedProvider back = world.regions.get("east").providers.get("east-s0");
        long before = back.executions;
        int crossed = world.ledger.forwardTimes("east").size();
        for (int second = 13; second <= 20; second++) {
            long had = back.executions;
            world.timeline.runUntil(RegionWorld.BEGIN_MICROS + second * RegionWorld.SECOND);
            assertTrue(back.executions - had >= 8, "no second without: " + (back.executions - had));
        }
        assertTrue(back.executions - before >= 8 * 20 * 0.7, "of 20 a second: " + (back.executions - before));
        assertTrue(world.ledger.forwardTimes("east").size() > crossed + 100);
        assertEquals(List.of(), world.ledger.violations(RegionScenarios.budgets("east", "west")));
    }

    /**
     * What the quota turns away never travels: without room in it nothing goes, however empty the other
     * is.
     */
    @Test
    void theQuotaIsCountedOnceAndAtHome() {
        RemoteRequestLimits wide = new RemoteRequestLimits(1000, 100_000, 100_000, 0.05, RegionWorld.SECOND);
        FailoverTarget away = new FailoverTarget(
                "west",
                RegionWorld.gatewayNames("west", 1),
                1,
                100_000,
                100_000,
                1000,
                100 * RegionWorld.MILLISECOND,
                20 * RegionWorld.MILLISECOND,
                50 * RegionWorld.MILLISECOND);
        RegionWorld world = new RegionWorld(
                4,
                List.of(
                        new RegionSetup("east", new FailoverRules("east", Set.of(), wide, away), 1, 2, 100),
                        new RegionSetup("west", new FailoverRules("west", Set.of("east"), wide, null), 1, 400, 0)));
        world.customers = 2;
        world.setBehavior("east", 2, SimulatedProvider.ProviderBehavior.GONE);
        world.timeline.runUntil(RegionWorld.BEGIN_MICROS + 20 * RegionWorld.SECOND);
        // Two customers of 30 units a second and 90 at once, who ask for three times as much.
        double most = 2 * (30 * 20 + 90);
        double sent = world.ledger.unitsForwarded("east");
        assertTrue(sent <= most && sent > 0.8 * most, sent + " units of at most " + most);
        double asked = 100 * 20 * 2;
        assertTrue(asked > 2.5 * most, "the quota is what binds");
        assertEquals(List.of(), world.ledger.violations(Map.of()));
    }
}
