package reedmux.simulation.region;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import org.apache.commons.rng.UniformRandomProvider;
import reedmux.simulation.invariants.HistoryChecker;
import reedmux.simulation.invariants.HistoryChecker.QuotaTolerance;
import reedmux.simulation.invariants.HistoryChecker.Violation;
import reedmux.simulation.region.RegionWorld.InjectedFault;
import reedmux.simulation.scenario.ScenarioChecks;

/**
 * Groups of many gatekeepers before many providers, at four fifths of what these can do and with one customer
 * that asks far too much: what each does alone has to keep the rules in sum. The production reducer and
 * module decide.
 */
public final class ScaleScenarios {
    /** What happens, from the sixth second on. */
    public enum ScaleScenario {
        /** Seven in ten gatekeepers die at once, while every second provider is replaced. */
        HERD,
        /** Nine in twenty providers are gone for five seconds and come back together, cold. */
        ZONE,
        /** Six in ten providers are replaced within seven seconds. */
        JOIN
    }

    private static final int[][] SIZES = {{14, 60}, {100, 200}};
    private static final String GROUP = "ennis";
    private static final long WORK_MICROS = 100 * RegionWorld.MILLISECOND;
    private static final int CORES = 2;
    private static final double LOAD = 0.8;
    private static final double HOT_SHARE = 0.02;
    /** Gatekeepers of each customer. */
    private static final int MEMBERS_PER_CUSTOMER = 4;
    /** The longest time for a count to cross the heap of so many, lost packets included. */
    private static final long COUNT_PROPAGATION_MICROS = 4 * RegionWorld.SECOND;

    private static final long FAULTS_BEGIN_MICROS = RegionWorld.BEGIN_MICROS + 6 * RegionWorld.SECOND;
    private static final long REPLACEMENT_PERIOD_MICROS = 7 * RegionWorld.SECOND;
    private static final long END_MICROS = RegionWorld.BEGIN_MICROS + 18 * RegionWorld.SECOND;

    private ScaleScenarios() {}

    /** What a run shows: rules broken, how often each was looked at, and the share of the requests served. */
    public record ScaleRun(
            List<Violation> violations, Map<HistoryChecker.HistoryRule, Integer> checks, double served) {}

    /** Plays a day; all chance comes from the seed. */
    public static ScaleRun play(ScaleScenario day, int gatekeepers, int providers, long seed) {
        return play(day, gatekeepers, providers, seed, InjectedFault.NOTHING);
    }

    static ScaleRun play(ScaleScenario day, int gatekeepers, int providers, long seed, InjectedFault planted) {
        double perSecond = LOAD * providers * CORES * RegionWorld.SECOND / WORK_MICROS;
        RegionWorld world = new RegionWorld(
                seed,
                List.of(new RegionSetup(
                        GROUP,
                        null,
                        gatekeepers,
                        providers,
                        perSecond,
                        WORK_MICROS,
                        CORES,
                        List.of(InvariantScenarios.SINGLE_LINE_PLAN, InvariantScenarios.FULL_PLANT_PLAN))),
                planted);
        world.customers = (int) (1.2 * perSecond); // at 1.7 units a second each
        world.membersPerCustomer = MEMBERS_PER_CUSTOMER;
        world.hotShare = HOT_SHARE;
        // Each but one lets a burst through before it hears of the others, and one that started anew another.
        world.ledger.rules.setQuotaTolerance(new QuotaTolerance(MEMBERS_PER_CUSTOMER, COUNT_PROPAGATION_MICROS));
        UniformRandomProvider random = RegionWorld.stream(seed, 98);
        switch (day) {
            case HERD -> {
                for (int i = 0; i < gatekeepers; i++) {
                    int member = i;
                    if (i % 10 < 7) {
                        world.timeline.at(
                                FAULTS_BEGIN_MICROS,
                                () -> world.restartGatekeeper(
                                        GROUP, member, RegionWorld.SECOND + random.nextLong(RegionWorld.SECOND)));
                    }
                }
                scheduleReplacements(world, random, providers / 2);
            }
            case ZONE -> {
                int lost = providers * 9 / 20;
                world.timeline.at(
                        FAULTS_BEGIN_MICROS,
                        () -> world.setBehavior(GROUP, lost, SimulatedProvider.ProviderBehavior.GONE));
                world.timeline.at(FAULTS_BEGIN_MICROS + 5 * RegionWorld.SECOND, () -> {
                    for (int i = 0; i < lost; i++) {
                        world.restartProvider(GROUP, i);
                    }
                    world.setBehavior(GROUP, lost, SimulatedProvider.ProviderBehavior.WELL);
                });
            }
            default -> scheduleReplacements(world, random, providers * 6 / 10);
        }
        world.timeline.at(END_MICROS, () -> world.regions.get(GROUP).perSecond = 0);
        world.timeline.runUntil(END_MICROS + 5 * RegionWorld.SECOND);
        RequestLedger.RegionService service = world.ledger.service(GROUP, RegionWorld.BEGIN_MICROS);
        return new ScaleRun(
                world.ledger.rules.violations(world.timeline.now(), Map.of()),
                world.ledger.rules.checks(),
                (double) service.served() / service.accepted());
    }

    /** All days at both sizes: that no rule is broken, and what is served. */
    public static ScenarioChecks sweep(long first, long last, Consumer<String> progress) {
        ScenarioChecks claims = new ScenarioChecks();
        for (int[] size : SIZES) {
            for (ScaleScenario day : ScaleScenario.values()) {
                String what = size[0] + " gatekeepers, " + size[1] + " providers, "
                        + day.name().toLowerCase(Locale.ROOT);
                List<ScaleRun> all = LongStream.rangeClosed(first, last)
                        .parallel()
                        .mapToObj(seed -> play(day, size[0], size[1], seed))
                        .toList();
                long broken = all.stream()
                        .filter(result -> !result.violations().isEmpty())
                        .count();
                claims.check(what + ": days with a broken rule", String.valueOf(broken), "0", broken == 0);
                double served = all.stream().mapToDouble(ScaleRun::served).min().orElse(0);
                claims.check(
                        what + ": least share served", String.format(Locale.ROOT, "%.3f", served), "0.5", served > 0.5);
                progress.accept(what + " done");
            }
        }
        return claims;
    }

    /** Each of so many drains at a time of its own, and a cold one is at its address a while later. */
    private static void scheduleReplacements(RegionWorld world, UniformRandomProvider random, int count) {
        for (int i = 0; i < count; i++) {
            int provider = i;
            long at = FAULTS_BEGIN_MICROS + random.nextLong(REPLACEMENT_PERIOD_MICROS);
            world.timeline.at(at, () -> world.setDraining(GROUP, provider, true));
            world.timeline.at(at + RegionWorld.SECOND + random.nextLong(RegionWorld.SECOND), () -> {
                world.restartProvider(GROUP, provider);
                world.setDraining(GROUP, provider, false);
            });
        }
    }
}
