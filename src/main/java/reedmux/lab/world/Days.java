package reedmux.lab.world;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;

/** Many days, played side by side and told in their order. */
public final class Days {
    private final Day.Shape shape;

    /** What many days come to. */
    public record Sum(int days, int broken, long asked, long served, long simulated, long digest) {}

    public Days(Day.Shape shape) {
        this.shape = shape;
    }

    /** Plays the days of these seeds; {@code log} hears processes, {@code told} each day once it is over. */
    public Sum play(long first, long last, int jobs, Consumer<String> log, Consumer<Day.Outcome> told)
            throws InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(jobs);
        try {
            List<Future<Day.Outcome>> days = new ArrayList<>();
            for (long seed = first; seed <= last; seed++) {
                long drawn = seed;
                days.add(pool.submit(() -> Day.play(drawn, shape, log)));
            }
            int broken = 0;
            long asked = 0;
            long served = 0;
            long simulated = 0;
            long digest = 0;
            for (Future<Day.Outcome> each : days) {
                Day.Outcome day = each.get();
                told.accept(day);
                broken += day.broken().isEmpty() ? 0 : 1;
                asked += day.asked();
                served += day.served();
                simulated += day.simulated();
                digest = digest * 31 + day.digest();
            }
            return new Sum(days.size(), broken, asked, served, simulated, digest);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }
}
