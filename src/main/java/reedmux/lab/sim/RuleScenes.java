package reedmux.lab.sim;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import reedmux.lab.rules.RuleChecker;
import reedmux.lab.rules.RuleChecker.Fault;
import reedmux.lab.rules.RuleChecker.Tolerance;
import reedmux.lab.sim.World.Setup;
import reedmux.policy.Gateway.Plan;
import reedmux.policy.Gateway.Settings;

/**
 * One group of gatekeepers through whatever a seed draws: lost datagrams, cuts with and without a restart,
 * restarts with the plans numbered otherwise, providers that hang, refuse, drain and start cold, consumers
 * who leave. The production reducer and module decide.
 */
public final class RuleScenes {
    private static final String GROUP = "ennis";
    /** The longest time for a count to cross the heap of three, lost packets included. */
    private static final long CROSSING = 2 * World.SECOND;

    static final Plan SINGLE = new Plan("single-line", 2, 16, 0, 0, 0, 0, 1.2, 0, 1.2);
    static final Plan FULL = new Plan("full-plant", 9.7, 32, 0, 17, 55, 8, 1.6, 0, 1.2);

    private RuleScenes() {}

    /** What a run shows: rules broken, what was looked at, and all that happened as text. */
    public record Result(List<Fault> faults, Map<RuleChecker.Rule, Integer> seen, String history) {}

    /** Plays a storm of so many seconds; all chance comes from the seed. */
    public static Result storm(long seed, int seconds) {
        UniformRandomProvider random = World.stream(seed, 99);
        int members = 2 + random.nextInt(2);
        World world = new World(
                seed,
                List.of(new Setup(
                        GROUP,
                        null,
                        members,
                        4 + random.nextInt(5),
                        40 + random.nextInt(200),
                        100 * World.MS,
                        2,
                        List.of(SINGLE, FULL))));
        world.ledger.rules.record();
        world.customers = 4 + random.nextInt(20);
        world.loss = random.nextInt(3) * 0.05;
        Tolerance tolerance = new Tolerance(members - 1, members * CROSSING);
        for (int i = 0; i < seconds; i++) {
            long at = World.BEGIN + i * World.SECOND + random.nextLong(World.SECOND);
            tolerance = trouble(world, random, members, at, tolerance);
        }
        world.ledger.rules.allow(tolerance);
        long end = World.BEGIN + seconds * World.SECOND;
        world.time.at(end, () -> world.regions.get(GROUP).perSecond = 0);
        world.time.run(end + 5 * World.SECOND);
        RuleChecker rules = world.ledger.rules;
        List<Fault> faults = rules.faults(world.time.now(), Map.of());
        return new Result(faults, rules.seen(), rules.transcript() + "end " + world.time.now() + '\n');
    }

    /**
     * Draws one trouble. Each member but one may let a burst through before it hears of the others' use, and
     * what the rate gives while a count crosses the heap; a restart forgets a burst, as in a cut nobody tells
     * it; and a cut holds counts up for as long as it lasts.
     */
    private static Tolerance trouble(
            World world, UniformRandomProvider random, int members, long at, Tolerance before) {
        int member = random.nextInt(members);
        int provider = random.nextInt(world.regions.get(GROUP).providers.size());
        long length = 100 * World.MS + random.nextLong(4 * World.SECOND);
        int kind = random.nextInt(6);
        switch (kind) {
            case 0 -> {
                world.time.at(at, () -> world.cut = (from, to) -> (from == member) != (to == member));
                world.time.at(at + length, () -> world.cut = (from, to) -> false);
            }
            case 1 -> {
                world.time.at(at, () -> world.cut = (from, to) -> to == member);
                world.time.at(at + length, () -> world.cut = (from, to) -> false);
            }
            case 2 ->
                world.time.at(at, () -> {
                    renumberPlans(world, member);
                    world.restart(GROUP, member, length / 4);
                });
            case 3 -> {
                world.time.at(at, () -> world.drain(GROUP, provider, true));
                world.time.at(at + length, () -> world.drain(GROUP, provider, false));
            }
            case 4 -> world.time.at(at, () -> world.startAnew(GROUP, provider));
            default -> {
                SimProvider.Mood mood = SimProvider.Mood.values()[random.nextInt(SimProvider.Mood.values().length)];
                world.time.at(at, () -> world.providers(GROUP, 1 + provider / 2, mood));
                world.time.at(at + length, () -> world.providers(GROUP, 1 + provider / 2, SimProvider.Mood.WELL));
            }
        }
        return new Tolerance(before.bursts() + (kind == 2 ? 1 : 0), before.time() + (kind < 2 ? length : 0));
    }

    /** As a rolling restart with other settings does: for a while its peers number the plans otherwise. */
    private static void renumberPlans(World world, int member) {
        Settings[] all = world.regions.get(GROUP).settings;
        List<Plan> plans = new ArrayList<>(all[member].plans());
        Collections.reverse(plans);
        Settings old = all[member];
        all[member] = new Settings(
                old.self(),
                old.groupSize(),
                old.zone(),
                old.askDiscovery(),
                old.unitsWhenWhole(),
                old.mostUnits(),
                old.tick(),
                old.classes(),
                plans,
                old.rules(),
                old.limits());
    }
}
