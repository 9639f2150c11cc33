package reedmux.cli;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.util.concurrent.Callable;
import reedmux.simulation.cluster.SimulatedRun;
import reedmux.simulation.cluster.SimulatedRunBatch;

/**
 * Simulates days of a whole deployment in virtual time, each with traffic and faults drawn from its seed, and checks
 * the invariants from outside.
 */
@Command(name = "world", description = "plays drawn days of a whole deployment in virtual time, against the rules")
public final class WorldCommand implements Callable<Integer> {
    private static final int MAX_POINT = 5;
    /** Of a day that violates invariants, how many of the violations are printed. */
    private static final int MAX_PRINTED_VIOLATIONS = 6;

    @AirlineModule
    private HelpOption<WorldCommand> help;

    @Option(name = "--seeds", title = "A..B", description = "the days to play, each drawn from its seed")
    private String seeds = "1..20";

    @Option(name = "--proxies", title = "N", description = "proxies, spread over three zones")
    private int proxies = 8;

    @Option(name = "--cores", title = "N", description = "core machines, spread over three zones")
    private int cores = 3;

    @Option(name = "--pace", title = "N", description = "requests a second for each proxy")
    private double requestsPerSecond = 12;

    @Option(name = "--storm", description = "changes that cannot stand together, while the core is in trouble")
    private boolean storm;

    @Option(
            name = "--point",
            title = "1..5",
            description = "days full of what the operators' point of that number tells of")
    private int point;

    @Option(name = "--same-addresses", description = "no core machine is replaced at another address")
    private boolean sameAddresses;

    @Option(name = "--jobs", title = "N", description = "days that are played side by side")
    private int jobs = Runtime.getRuntime().availableProcessors();

    @Option(name = "--log", description = "also print what the processes write; for one seed")
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

    private static void printViolations(SimulatedRun.RunOutcome day) {
        if (!day.violations().isEmpty()) {
            System.out.printf("seed %d breaks rules (digest %016x)%n", day.seed(), day.digest());
            day.violations().stream().limit(MAX_PRINTED_VIOLATIONS).forEach(line -> System.out.println("    " + line));
            day.faults().forEach(line -> System.out.println("        " + line));
        }
    }
}
