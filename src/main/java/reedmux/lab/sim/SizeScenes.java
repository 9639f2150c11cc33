package reedmux.lab.sim;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import org.apache.commons.rng.UniformRandomProvider;
import reedmux.lab.Claims;
import reedmux.lab.rules.RuleChecker;
import reedmux.lab.rules.RuleChecker.Fault;
import reedmux.lab.rules.RuleChecker.Tolerance;
import reedmux.lab.sim.World.Planted;
import reedmux.lab.sim.World.Setup;

/**
 * Groups of many gatekeepers before many providers, at four fifths of what these can do and with one customer
 * that asks far too much: what each does alone has to keep the rules in sum. The production reducer and
 * module decide.
 */
public final class SizeScenes {
    /** What happens, from the sixth second on. */
    public enum Day {
        /** Seven in ten gatekeepers die at once, while every second provider is replaced. */
        HERD,
        /** Nine in twenty providers are gone for five seconds and come back together, cold. */
        ZONE,
        /** Six in ten providers are replaced within seven seconds. */
        JOIN
    }

    private static final int[][] SIZES = {{14, 60}, {100, 200}};
    private static final String GROUP = "ennis";
    private static final long WORK = 100 * World.MS;
    private static final int CORES = 2;
    private static final double LOAD = 0.8;
    private static final double HOT = 0.02;
    /** Gatekeepers of each customer. */
    private static final int SPREAD = 4;
    /** The longest time for a count to cross the heap of so many, lost packets included. */
    private static final long CROSSING = 4 * World.SECOND;

    private static final long TROUBLE = World.BEGIN + 6 * World.SECOND;
    private static final long LENGTH = 7 * World.SECOND;
    private static final long END = World.BEGIN + 18 * World.SECOND;

    private SizeScenes() {}

    /** What a run shows: rules broken, how often each was looked at, and the share of the requests served. */
    public record Result(List<Fault> faults, Map<RuleChecker.Rule, Integer> seen, double served) {}

    /** Plays a day; all chance comes from the seed. */
    public static Result play(Day day, int gatekeepers, int providers, long seed) {
        return play(day, gatekeepers, providers, seed, Planted.NOTHING);
    }

    static Result play(Day day, int gatekeepers, int providers, long seed, Planted planted) {
        double perSecond = LOAD * providers * CORES * World.SECOND / WORK;
        World world = new World(
                seed,
                List.of(new Setup(
                        GROUP,
                        null,
                        gatekeepers,
                        providers,
                        perSecond,
                        WORK,
                        CORES,
                        List.of(RuleScenes.SINGLE, RuleScenes.FULL))),
                planted);
        world.customers = (int) (1.2 * perSecond); // at 1.7 units a second each
        world.spread = SPREAD;
        world.hot = HOT;
        // Each but one lets a burst through before it hears of the others, and one that started anew another.
        world.ledger.rules.allow(new Tolerance(SPREAD, CROSSING));
        UniformRandomProvider random = World.stream(seed, 98);
        switch (day) {
            case HERD -> {
                for (int i = 0; i < gatekeepers; i++) {
                    int member = i;
                    if (i % 10 < 7) {
                        world.time.at(
                                TROUBLE,
                                () -> world.restart(GROUP, member, World.SECOND + random.nextLong(World.SECOND)));
                    }
                }
                replace(world, random, providers / 2);
            }
            case ZONE -> {
                int lost = providers * 9 / 20;
                world.time.at(TROUBLE, () -> world.providers(GROUP, lost, SimProvider.Mood.GONE));
                world.time.at(TROUBLE + 5 * World.SECOND, () -> {
                    for (int i = 0; i < lost; i++) {
                        world.startAnew(GROUP, i);
                    }
                    world.providers(GROUP, lost, SimProvider.Mood.WELL);
                });
            }
            default -> replace(world, random, providers * 6 / 10);
        }
        world.time.at(END, () -> world.regions.get(GROUP).perSecond = 0);
        world.time.run(END + 5 * World.SECOND);
        Ledger.Service service = world.ledger.service(GROUP, World.BEGIN);
        return new Result(
                world.ledger.rules.faults(world.time.now(), Map.of()),
                world.ledger.rules.seen(),
                (double) service.served() / service.taken());
    }

    /** All days at both sizes: that no rule is broken, and what is served. */
    public static Claims sweep(long first, long last, Consumer<String> progress) {
        Claims claims = new Claims();
        for (int[] size : SIZES) {
            for (Day day : Day.values()) {
                String what = size[0] + " gatekeepers, " + size[1] + " providers, "
                        + day.name().toLowerCase(Locale.ROOT);
                List<Result> all = LongStream.rangeClosed(first, last)
                        .parallel()
                        .mapToObj(seed -> play(day, size[0], size[1], seed))
                        .toList();
                long broken = all.stream()
                        .filter(result -> !result.faults().isEmpty())
                        .count();
                claims.claim(what + ": days with a broken rule", String.valueOf(broken), "0", broken == 0);
                double served = all.stream().mapToDouble(Result::served).min().orElse(0);
                claims.claim(
                        what + ": least share served", String.format(Locale.ROOT, "%.3f", served), "0.5", served > 0.5);
                progress.accept(what + " done");
            }
        }
        return claims;
    }

    /** Each of so many drains at a time of its own, and a cold one is at its address a while later. */
    private static void replace(World world, UniformRandomProvider random, int count) {
        for (int i = 0; i < count; i++) {
            int provider = i;
            long at = TROUBLE + random.nextLong(LENGTH);
            world.time.at(at, () -> world.drain(GROUP, provider, true));
            world.time.at(at + World.SECOND + random.nextLong(World.SECOND), () -> {
                world.startAnew(GROUP, provider);
                world.drain(GROUP, provider, false);
            });
        }
    }
}
