package reedmux.simulation.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;

/** Executes many simulated runs in parallel and reports their outcomes in the order of their seeds. */
public final class SimulatedRunBatch {
    private final SimulatedRun.RunOptions options;

    /** The totals of a batch of runs; the digest combines the digests of all runs. */
    public record BatchTotals(
            int runs, int violatedRuns, long requests, long served, long simulatedMicros, long digest) {}

    /** Creates a batch whose runs all have the same options. */
    public SimulatedRunBatch(SimulatedRun.RunOptions options) {
        this.options = options;
    }

    /**
     * Executes one run for each seed from {@code firstSeed} to {@code lastSeed}, both included.
     *
     * @param jobs            how many runs execute concurrently
     * @param log             receives the log lines of the simulated processes
     * @param outcomeListener receives each outcome, in the order of the seeds
     */
    public BatchTotals run(
            long firstSeed,
            long lastSeed,
            int jobs,
            Consumer<String> log,
            Consumer<SimulatedRun.RunOutcome> outcomeListener)
            throws InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(jobs);
        try {
            List<Future<SimulatedRun.RunOutcome>> outcomes = new ArrayList<>();
            for (long seed = firstSeed; seed <= lastSeed; seed++) {
                long runSeed = seed;
                outcomes.add(pool.submit(() -> SimulatedRun.run(runSeed, options, log)));
            }
            int violatedRuns = 0;
            long requests = 0;
            long served = 0;
            long simulated = 0;
            long digest = 0;
            for (Future<SimulatedRun.RunOutcome> future : outcomes) {
                SimulatedRun.RunOutcome outcome = future.get();
                outcomeListener.accept(outcome);
                violatedRuns += outcome.violations().isEmpty() ? 0 : 1;
                requests += outcome.requests();
                served += outcome.served();
                simulated += outcome.simulatedMicros();
                digest = digest * 31 + outcome.digest();
            }
            return new BatchTotals(outcomes.size(), violatedRuns, requests, served, simulated, digest);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }
}
