package reedmux.cli;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.util.concurrent.Callable;
import reedmux.simulation.cluster.SimulatedRun;
import reedmux.simulation.cluster.SimulatedRunBatch;

/**
 * Simulates runs of a complete deployment in virtual time, each with traffic and faults generated from its seed, and
 * checks the invariants from the outside.
 */
@Command(
        name = "world",
        description = "simulates random runs of a complete deployment in virtual time and checks the invariants")
public final class WorldCommand implements Callable<Integer> {
    private static final int MAX_POINT = 5;
    /** The maximum number of violations that are printed for one run. */
    private static final int MAX_PRINTED_VIOLATIONS = 6;

    @AirlineModule
    private HelpOption<WorldCommand> help;

    @Option(name = "--seeds", title = "A..B", description = "the seeds, each of which determines one simulated run")
    private String seeds = "1..20";

    @Option(name = "--proxies", title = "N", description = "number of proxies, distributed over three zones")
    private int proxies = 8;

    @Option(name = "--cores", title = "N", description = "number of core machines, distributed over three zones")
    private int cores = 3;

    @Option(name = "--pace", title = "N", description = "requests per second for each proxy")
    private double requestsPerSecond = 12;

    @Option(
            name = "--storm",
            description = "send conflicting configuration changes continuously while the core has faults")
    private boolean storm;

    @Option(
            name = "--point",
            title = "1..5",
            description = "simulate long runs with one kind of fault, selected by this number")
    private int point;

    @Option(name = "--same-addresses", description = "never replace a core machine at a different address")
    private boolean sameAddresses;

    @Option(name = "--jobs", title = "N", description = "number of runs that are simulated in parallel")
    private int jobs = Runtime.getRuntime().availableProcessors();

    @Option(name = "--log", description = "also print the log lines of the processes; intended for a single seed")
    private boolean log;

    @Override
    public Integer call() throws InterruptedException {
        if (help != null && help.showHelpIfRequested()) {
            return ExitCode.OK;
        }
        SeedRange range = SeedRange.parse(seeds);
        if (range == null
                || proxies < 1
                || cores < 1
                || jobs < 1
                || !(requestsPerSecond > 0)
                || point < 0
                || point > MAX_POINT) {
            System.err.println("reedmux: world: --seeds is A..B, --point 1 to 5, the others are numbers above 0");
            return ExitCode.BAD_USAGE;
        }
        long startNanos = System.nanoTime();
        SimulatedRunBatch runner = new SimulatedRunBatch(
                new SimulatedRun.RunOptions(proxies, cores, requestsPerSecond, storm, point, !sameAddresses));
        SimulatedRunBatch.BatchTotals totals = runner.run(
                range.first(),
                range.last(),
                log ? 1 : jobs,
                log ? System.out::println : line -> {},
                WorldCommand::printViolations);
        double wallSeconds = (System.nanoTime() - startNanos) / 1e9;
        System.out.printf(
                "%d days with %d proxies and %d core machines, %d broken; %.0f simulated seconds, "
                        + "%.1f a wall second; %d of %d requests served; digest %016x%n",
                totals.runs(),
                proxies,
                cores,
                totals.violatedRuns(),
                totals.simulatedMicros() / 1e6,
                totals.simulatedMicros() / 1e6 / wallSeconds,
                totals.served(),
                totals.requests(),
                totals.digest());
        return totals.violatedRuns() == 0 ? ExitCode.OK : ExitCode.FAILED;
    }

    private static void printViolations(SimulatedRun.RunOutcome outcome) {
        if (!outcome.violations().isEmpty()) {
            System.out.printf("seed %d breaks rules (digest %016x)%n", outcome.seed(), outcome.digest());
            outcome.violations().stream()
                    .limit(MAX_PRINTED_VIOLATIONS)
                    .forEach(line -> System.out.println("    " + line));
            outcome.faults().forEach(line -> System.out.println("        " + line));
        }
    }
}
