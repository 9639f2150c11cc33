package reedmux.simulation.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;

/** Many days, played side by side and told in their order. */
public final class DayRunner {
    private final SimulatedDay.DayOptions options;

    /** What many days come to. */
    public record DayTotals(
            int days, int violatedDays, long requests, long served, long simulatedMicros, long digest) {}

    /** A runner of days of one shape. */
    public DayRunner(SimulatedDay.DayOptions shape) {
        this.options = shape;
    }

    /** Plays the days of these seeds; {@code log} hears processes, {@code told} each day once it is over. */
    public DayTotals play(long first, long last, int jobs, Consumer<String> log, Consumer<SimulatedDay.DayOutcome> told)
            throws InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(jobs);
        try {
            List<Future<SimulatedDay.DayOutcome>> days = new ArrayList<>();
            for (long seed = first; seed <= last; seed++) {
                long drawn = seed;
                days.add(pool.submit(() -> SimulatedDay.play(drawn, options, log)));
            }
            int broken = 0;
            long asked = 0;
            long served = 0;
            long simulated = 0;
            long digest = 0;
            for (Future<SimulatedDay.DayOutcome> each : days) {
                SimulatedDay.DayOutcome day = each.get();
                told.accept(day);
                broken += day.violations().isEmpty() ? 0 : 1;
                asked += day.requests();
                served += day.served();
                simulated += day.simulatedMicros();
                digest = digest * 31 + day.digest();
            }
            return new DayTotals(days.size(), broken, asked, served, simulated, digest);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }
}
