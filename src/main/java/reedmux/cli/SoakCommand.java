package reedmux.cli;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import reedmux.simulation.soak.SoakOptions;
import reedmux.simulation.soak.SoakOutcome;
import reedmux.simulation.soak.SoakRun;
import reedmux.simulation.soak.SoakStress;

/** Runs the programs as processes on loopback and injects overlapping faults. */
@Command(
        name = "soak",
        description = "runs real processes on loopback under overlapping signals, kills and machine losses")
public final class SoakCommand implements Callable<Integer> {
    /** The lowest second octet of a soak's loopback addresses; concurrent runs with other seeds use other octets. */
    private static final int FIRST_NETWORK = 20;

    private static final int NETWORKS = 100;
    private static final int MIN_CORES = 3;
    /** The exclusive upper limit of the pause in each 100 ms; at 100 ms a proxy would never resume. */
    private static final int MAX_THROTTLE_MILLIS = 100;

    @AirlineModule
    private HelpOption<SoakCommand> help;

    @Option(
            name = "--seeds",
            title = "A..B",
            description = "the seeds, each of which determines one run; runs are sequential")
    private String seeds = "1..5";

    @Option(name = "--seconds", title = "N", description = "how long faults are injected in each run, in seconds")
    private int durationSeconds = 20;

    @Option(name = "--proxies", title = "N", description = "number of proxies, distributed over three zones")
    private int proxies = 5;

    @Option(name = "--cores", title = "N", description = "number of core machines, each with a store and a registry")
    private int cores = 3;

    @Option(name = "--checkers", title = "N", description = "number of simulated checkers")
    private int checkers = 6;

    @Option(name = "--clients", title = "N", description = "number of clients that send sequential requests")
    private int clients = 16;

    @Option(
            name = "--leaving",
            title = "N",
            description = "number of clients that disconnect without waiting for their responses")
    private int leaving = 8;

    @Option(name = "--tenants", title = "N", description = "number of tenants with quotas, some of which exceed them")
    private int tenants = 6;

    @Option(
            name = "--rate",
            title = "N",
            description = "the usual total request rate of these tenants, in requests per second")
    private int rate = 60;

    @Option(
            name = "--throttle",
            title = "MS",
            description = "the maximum time for which a proxy is paused in each 100 ms")
    private int throttleMillis;

    @Option(
            name = "--uploads",
            title = "N",
            description = "the rate of large request bodies to each proxy, in requests per second")
    private int uploadsPerSecond;

    @Option(
            name = "--large-uploads",
            title = "N",
            description = "the number of clients that send bodies of up to 8 MB, which checkers read late at times")
    private int largeUploaders;

    @Option(
            name = "--spoilt",
            title = "SHARE",
            description = "the share of the checkers' answers that do not end, from 0 to 1")
    private double spoiltShare;

    @Option(
            name = "--kill-after-ack",
            description = "also kill all processes right after acknowledgements of changes and leaves")
    private boolean killsAfterAcknowledgements;

    @Option(name = "--extremes", description = "set durations and limits to the ends of their ranges")
    private boolean extremeSettings;

    @Option(
            name = "--keep",
            title = "DIR",
            description = "the folder to which settings, disks and logs of failed runs are moved")
    private String keep;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (help != null && help.showHelpIfRequested()) {
            return ExitCode.OK;
        }
        SeedRange range = SeedRange.parse(seeds);
        if (range == null || !isValid()) {
            System.err.println(
                    "reedmux: soak: --seeds is A..B, --cores at least 3, --throttle below 100, --spoilt from 0 to 1,"
                            + " --uploads, --large-uploads and --leaving at least 0, the others above 0");
            return ExitCode.BAD_USAGE;
        }
        int failed = 0;
        for (long seed = range.first(); seed <= range.last(); seed++) {
            failed += run(new SoakOptions(
                            seed,
                            durationSeconds,
                            proxies,
                            cores,
                            checkers,
                            clients,
                            leaving,
                            tenants,
                            rate,
                            throttleMillis,
                            new SoakStress(
                                    uploadsPerSecond,
                                    largeUploaders,
                                    spoiltShare,
                                    killsAfterAcknowledgements,
                                    extremeSettings)))
                    ? 0
                    : 1;
        }
        System.out.println(range.last() - range.first() + 1 + " runs, " + failed + " with violations");
        return failed == 0 ? ExitCode.OK : ExitCode.FAILED;
    }

    private boolean isValid() {
        boolean allPositive =
                durationSeconds > 0 && proxies > 0 && checkers > 0 && clients > 0 && tenants > 0 && rate > 0;
        return allPositive
                && cores >= MIN_CORES
                && leaving >= 0
                && uploadsPerSecond >= 0
                && largeUploaders >= 0
                && spoiltShare >= 0
                && spoiltShare <= 1
                && throttleMillis >= 0
                && throttleMillis < MAX_THROTTLE_MILLIS;
    }

    private boolean run(SoakOptions options) throws IOException, InterruptedException {
        Path directory = Files.createTempDirectory("reedmux-soak");
        SoakOutcome outcome =
                SoakRun.run(options, directory, FIRST_NETWORK + (int) Math.floorMod(options.seed(), (long) NETWORKS));
        System.out.printf(
                "seed %d: %d of %d requests served, %d large bodies compared, %d executions ended by departures, "
                        + "%d processes started, %d times held up, worst window %.2f of its quota, "
                        + "%d of %d requests within quotas refused, %d faults, %d violations%n",
                outcome.seed(),
                outcome.served(),
                outcome.requests(),
                outcome.comparedBodies(),
                outcome.endedByDeparture(),
                outcome.processes(),
                outcome.heldUpTimes(),
                outcome.worstQuotaShare(),
                outcome.refused(),
                outcome.withinQuota(),
                outcome.faults().size(),
                outcome.violations().size());
        outcome.violations().forEach(violation -> System.out.println("    " + violation));
        if (!outcome.violations().isEmpty()) {
            outcome.faults().forEach(fault -> System.out.println("        " + fault));
        }
        if (keep != null && !outcome.violations().isEmpty()) {
            Files.createDirectories(Path.of(keep));
            Files.move(directory, Path.of(keep).resolve("seed-" + options.seed()));
        } else {
            delete(directory);
        }
        return outcome.violations().isEmpty();
    }

    private static void delete(Path directory) throws IOException {
        try (Stream<Path> files = Files.walk(directory)) {
            files.sorted(Comparator.reverseOrder())
                    .forEach(path -> path.toFile().delete());
        }
    }
}
