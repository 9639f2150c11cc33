package reedmux.simulation.region;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import reedmux.gatekeeper.policy.TrafficPolicy.CustomerPlan;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicySettings;
import reedmux.simulation.invariants.HistoryChecker;
import reedmux.simulation.invariants.HistoryChecker.QuotaTolerance;
import reedmux.simulation.invariants.HistoryChecker.Violation;

/**
 * One group of gatekeepers through whatever a seed draws: lost datagrams, cuts with and without a restart,
 * restarts with the plans numbered otherwise, providers that hang, refuse, drain and start cold, consumers
 * who leave. The production reducer and module decide.
 */
public final class InvariantScenarios {
    private static final String GROUP = "ennis";
    /** The longest time for a count to cross the heap of three, lost packets included. */
    private static final long COUNT_PROPAGATION_MICROS = 2 * RegionWorld.SECOND;

    static final CustomerPlan SINGLE_LINE_PLAN = new CustomerPlan("single-line", 2, 16, 0, 0, 0, 0, 1.2, 0, 1.2);
    static final CustomerPlan FULL_PLANT_PLAN = new CustomerPlan("full-plant", 9.7, 32, 0, 17, 55, 8, 1.6, 0, 1.2);

    private InvariantScenarios() {}

    /** What a run shows: rules broken, what was looked at, and all that happened as text. */
    public record InvariantRun(
            List<Violation> violations, Map<HistoryChecker.HistoryRule, Integer> checks, String history) {}

    /** Plays a storm of so many seconds; all chance comes from the seed. */
    public static InvariantRun storm(long seed, int seconds) {
        UniformRandomProvider random = RegionWorld.stream(seed, 99);
        int members = 2 + random.nextInt(2);
        RegionWorld world = new RegionWorld(
                seed,
                List.of(new RegionSetup(
                        GROUP,
                        null,
                        members,
                        4 + random.nextInt(5),
                        40 + random.nextInt(200),
                        100 * RegionWorld.MILLISECOND,
                        2,
                        List.of(SINGLE_LINE_PLAN, FULL_PLANT_PLAN))));
        world.ledger.rules.startTranscript();
        world.customers = 4 + random.nextInt(20);
        world.datagramLoss = random.nextInt(3) * 0.05;
        QuotaTolerance tolerance = new QuotaTolerance(members - 1, members * COUNT_PROPAGATION_MICROS);
        for (int i = 0; i < seconds; i++) {
            long at = RegionWorld.BEGIN_MICROS + i * RegionWorld.SECOND + random.nextLong(RegionWorld.SECOND);
            tolerance = scheduleFault(world, random, members, at, tolerance);
        }
        world.ledger.rules.setQuotaTolerance(tolerance);
        long end = RegionWorld.BEGIN_MICROS + seconds * RegionWorld.SECOND;
        world.timeline.at(end, () -> world.regions.get(GROUP).perSecond = 0);
        world.timeline.runUntil(end + 5 * RegionWorld.SECOND);
        HistoryChecker rules = world.ledger.rules;
        List<Violation> faults = rules.violations(world.timeline.now(), Map.of());
        return new InvariantRun(faults, rules.checks(), rules.transcript() + "end " + world.timeline.now() + '\n');
    }

    /**
     * Draws one trouble. Each member but one may let a burst through before it hears of the others' use, and
     * what the rate gives while a count crosses the heap; a restart forgets a burst, as in a cut nobody tells
     * it; and a cut holds counts up for as long as it lasts.
     */
    private static QuotaTolerance scheduleFault(
            RegionWorld world, UniformRandomProvider random, int members, long at, QuotaTolerance before) {
        int member = random.nextInt(members);
        int provider = random.nextInt(world.regions.get(GROUP).providers.size());
        long length = 100 * RegionWorld.MILLISECOND + random.nextLong(4 * RegionWorld.SECOND);
        int kind = random.nextInt(6);
        switch (kind) {
            case 0 -> {
                world.timeline.at(at, () -> world.isCut = (from, to) -> (from == member) != (to == member));
                world.timeline.at(at + length, () -> world.isCut = (from, to) -> false);
            }
            case 1 -> {
                world.timeline.at(at, () -> world.isCut = (from, to) -> to == member);
                world.timeline.at(at + length, () -> world.isCut = (from, to) -> false);
            }
            case 2 ->
                world.timeline.at(at, () -> {
                    renumberPlans(world, member);
                    world.restartGatekeeper(GROUP, member, length / 4);
                });
            case 3 -> {
                world.timeline.at(at, () -> world.setDraining(GROUP, provider, true));
                world.timeline.at(at + length, () -> world.setDraining(GROUP, provider, false));
            }
            case 4 -> world.timeline.at(at, () -> world.restartProvider(GROUP, provider));
            default -> {
                SimulatedProvider.ProviderBehavior mood = SimulatedProvider.ProviderBehavior.values()[
                        random.nextInt(SimulatedProvider.ProviderBehavior.values().length)];
                world.timeline.at(at, () -> world.setBehavior(GROUP, 1 + provider / 2, mood));
                world.timeline.at(
                        at + length,
                        () -> world.setBehavior(GROUP, 1 + provider / 2, SimulatedProvider.ProviderBehavior.WELL));
            }
        }
        return new QuotaTolerance(before.bursts() + (kind == 2 ? 1 : 0), before.time() + (kind < 2 ? length : 0));
    }

    /** As a rolling restart with other settings does: for a while its peers number the plans otherwise. */
    private static void renumberPlans(RegionWorld world, int member) {
        PolicySettings[] all = world.regions.get(GROUP).settings;
        List<CustomerPlan> plans = new ArrayList<>(all[member].plans());
        Collections.reverse(plans);
        PolicySettings old = all[member];
        all[member] = new PolicySettings(
                old.self(),
                old.groupSize(),
                old.zone(),
                old.pollsDiscovery(),
                old.chargeOnDelivery(),
                old.maxUnits(),
                old.clockTick(),
                old.classes(),
                plans,
                old.rules(),
                old.limits());
    }
}
