package reedmux.simulation.region;

import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import reedmux.simulation.region.RequestLedger.RegionService;
import reedmux.simulation.scenario.ScenarioChecks;

/**
 * Pools from one provider to many and from quick to slow, with consumers who ask in turn and never for more
 * than the pool can do: whether the module's bound on calls out reads a machine's jitter as slowness.
 */
public final class ConcurrencyLimitScenarios {
    private static final long[] WORK_MICROS = {200, 1_000, 5_000, 50_000, 200_000, 2_000_000};
    private static final int[] PROVIDERS = {1, 2, 8, 32, 200};
    /** On a machine with room, and beside a busy neighbour. */
    private static final double[] PAUSE_SHARES = {0.005, 0.2};

    private static final int CORES = 8;
    /**
     * Consumers of a pool: half of its cores, so that there is always room, and no more than can be
     * played.
     */
    private static final double CONSUMERS_PER_CORE = 0.5;

    private static final int MAX_CONSUMERS = 200;

    private ConcurrencyLimitScenarios() {}

    /** The share refused where the pool has room; {@code pauses}: share of answers held up for 5 to 20 ms. */
    static double rejectedShare(long seed, int providers, long work, double pauses) {
        RegionWorld world =
                new RegionWorld(seed, List.of(new RegionSetup("pool", null, 1, providers, 0, work, CORES, 1e6)));
        world.jitter = 300;
        world.pauseShare = pauses;
        world.networkDelay = 100;
        world.customers = 1;
        int consumers = Math.min(MAX_CONSUMERS, (int) (CORES * providers * CONSUMERS_PER_CORE));
        long until = RegionWorld.BEGIN_MICROS + Math.max(2 * RegionWorld.SECOND, 20 * work);
        for (int i = 0; i < consumers; i++) {
            world.traffic.startClosedLoopConsumer(world.regions.get("pool"), i, until);
        }
        world.timeline.runUntil(until + 20 * RegionWorld.SECOND);
        RegionService service = world.ledger.service("pool", RegionWorld.BEGIN_MICROS);
        return (double) service.rejected() / service.accepted();
    }

    /** The sweep over both, the mean over the seeds. */
    public static ScenarioChecks sweep(long first, long last, Consumer<String> progress) {
        ScenarioChecks claims = new ScenarioChecks();
        for (int providers : PROVIDERS) {
            for (long work : WORK_MICROS) {
                for (double pauses : PAUSE_SHARES) {
                    double share = LongStream.rangeClosed(first, last)
                            .parallel()
                            .mapToDouble(seed -> rejectedShare(seed, providers, work, pauses))
                            .average()
                            .orElse(1);
                    claims.check(
                            providers + " providers of " + work / 1000.0 + " ms, " + pauses
                                    + " of them held up: share refused",
                            String.format(Locale.ROOT, "%.4f", share),
                            "0.01",
                            share < 0.01);
                }
            }
            progress.accept(providers + " providers done");
        }
        return claims;
    }
}
