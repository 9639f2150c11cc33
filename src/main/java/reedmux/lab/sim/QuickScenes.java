package reedmux.lab.sim;

import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import reedmux.lab.Claims;
import reedmux.lab.sim.Ledger.Service;
import reedmux.lab.sim.World.Setup;

/**
 * Pools from one provider to many and from quick to slow, with consumers who ask in turn and never for more
 * than the pool can do: whether the module's bound on calls out reads a machine's jitter as slowness.
 */
public final class QuickScenes {
    private static final long[] WORK = {200, 1_000, 5_000, 50_000, 200_000, 2_000_000};
    private static final int[] PROVIDERS = {1, 2, 8, 32, 200};
    /** On a machine with room, and beside a busy neighbour. */
    private static final double[] PAUSES = {0.005, 0.2};

    private static final int CORES = 8;
    /**
     * Consumers of a pool: half of its cores, so that there is always room, and no more than can be
     * played.
     */
    private static final double BUSY = 0.5;

    private static final int MOST_CONSUMERS = 200;

    private QuickScenes() {}

    /** The share refused where the pool has room; {@code pauses}: share of answers held up for 5 to 20 ms. */
    static double refused(long seed, int providers, long work, double pauses) {
        World world = new World(seed, List.of(new Setup("pool", null, 1, providers, 0, work, CORES, 1e6)));
        world.jitter = 300;
        world.pauses = pauses;
        world.delay = 100;
        world.customers = 1;
        int consumers = Math.min(MOST_CONSUMERS, (int) (CORES * providers * BUSY));
        long until = World.BEGIN + Math.max(2 * World.SECOND, 20 * work);
        for (int i = 0; i < consumers; i++) {
            world.askInTurn(world.regions.get("pool"), i, until);
        }
        world.time.run(until + 20 * World.SECOND);
        Service service = world.ledger.service("pool", World.BEGIN);
        return (double) service.rejected() / service.taken();
    }

    /** The sweep over both, the mean over the seeds. */
    public static Claims sweep(long first, long last, Consumer<String> progress) {
        Claims claims = new Claims();
        for (int providers : PROVIDERS) {
            for (long work : WORK) {
                for (double pauses : PAUSES) {
                    double share = LongStream.rangeClosed(first, last)
                            .parallel()
                            .mapToDouble(seed -> refused(seed, providers, work, pauses))
                            .average()
                            .orElse(1);
                    claims.claim(
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
