package reedmux.simulation.scenario;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;
import reedmux.simulation.cluster.CatchUpExperiment;
import reedmux.simulation.region.ConcurrencyLimitScenarios;
import reedmux.simulation.region.RegionMeasurements;
import reedmux.simulation.region.ScaleScenarios;

/** The scenes that can be run, by name. */
public final class Scenarios {
    /** Plays a scene with the seeds from one to another. */
    private interface Scenario {
        ScenarioChecks run(ScenarioOptions asked, Consumer<String> progress) throws IOException, InterruptedException;
    }

    /**
     * How a scene is to be run.
     *
     * @param firstSeed the first of the seeds
     * @param lastSeed  the last of the seeds; a scene in real time plays the first only
     * @param jar   the build to measure, or null for this one
     * @param otherJar  the build to compare it with, or null for this one
     * @param maxSize   the largest size
     * @param folder where tables are kept, or null
     */
    public record ScenarioOptions(long firstSeed, long lastSeed, Path jar, Path otherJar, int maxSize, Path folder) {}

    private static final int ROUNDS = 5;

    private record RegisteredScenario(String description, Scenario scenario) {}

    private static final Map<String, RegisteredScenario> ALL = new LinkedHashMap<>();

    static {
        ALL.put(
                "region",
                new RegisteredScenario("two regions of real gatekeepers on loopback, 40 s", Scenarios::runRegion));
        ALL.put(
                "cost",
                new RegisteredScenario(
                        "CPU a request and heap of two builds, by turns, 3 min; --jar, --vs",
                        (asked, progress) -> CostScenario.run(asked.jar, asked.otherJar, ROUNDS, progress)));
        ALL.put(
                "region-service",
                new RegisteredScenario(
                        "service with and without a last resort, in virtual time",
                        (asked, progress) -> RegionMeasurements.service(asked.firstSeed, asked.lastSeed, progress)));
        ALL.put(
                "quick-pool",
                new RegisteredScenario(
                        "one to eight quick providers on loopback: who is refused, 3 min",
                        (asked, progress) -> QuickPoolScenario.run(progress)));
        ALL.put(
                "quick-pools",
                new RegisteredScenario(
                        "pools of 1 to 200 providers of 0.2 ms to 2 s: who is refused",
                        (asked, progress) ->
                                ConcurrencyLimitScenarios.sweep(asked.firstSeed, asked.lastSeed, progress)));
        ALL.put(
                "services",
                new RegisteredScenario(
                        "three services in one gatekeeper, one flooded, hung, crowded; reloads," + " 90 s",
                        (asked, progress) ->
                                ServicesScenario.run(Files.createTempDirectory("reedmux-services"), progress)));
        ALL.put(
                "upgrade",
                new RegisteredScenario(
                        "new versions take a gatekeeper's place under load, one dies, 40 s",
                        (asked, progress) -> UpgradeScenario.run(Files.createTempDirectory("rx"), progress)));
        ALL.put(
                "sizes",
                new RegisteredScenario(
                        "14 and 100 gatekeepers: mass restart, lost zone, replacement; 1 min",
                        (asked, progress) -> ScaleScenarios.sweep(asked.firstSeed, asked.lastSeed, progress)));
        ALL.put(
                "capacity",
                new RegisteredScenario(
                        "the control side at growing sizes, in virtual time: powers and the sum at"
                                + " the operators' size, 2 min; --most, --out",
                        (asked, progress) -> CapacityScenario.run(asked.maxSize, asked.folder, progress)));
        ALL.put(
                "items",
                new RegisteredScenario(
                        "what one change costs at 30 to 100,000 items, 10 s",
                        (asked, progress) -> ItemScenario.run(progress)));
        ALL.put(
                "catch-up",
                new RegisteredScenario(
                        "bytes and time until a core machine has all again, to 100,000 items",
                        (asked, progress) -> CatchUpExperiment.run(progress)));
        ALL.put(
                "region-storms",
                new RegisteredScenario(
                        "faults of all kinds against the rules, in virtual time",
                        (asked, progress) -> RegionMeasurements.storms(asked.firstSeed, asked.lastSeed, progress)));
    }

    private Scenarios() {}

    /** The scenes' names, each with what it shows. */
    public static Map<String, String> descriptions() {
        Map<String, String> all = new LinkedHashMap<>();
        ALL.forEach((name, known) -> all.put(name, known.description));
        return all;
    }

    /**
     * Runs a scene, prints its claims and keeps them where {@code results} is not null.
     *
     * @return whether all claims hold
     */
    public static boolean run(
            String name, ScenarioOptions asked, Path results, PrintStream out, Consumer<String> progress)
            throws IOException, InterruptedException {
        long begin = System.nanoTime();
        ScenarioChecks claims = ALL.get(name).scenario.run(asked, progress);
        claims.print(out);
        out.printf(
                "%s: %s, seeds %d to %d, %.1f s%n",
                name,
                claims.allPassed() ? "all claims hold" : "NOT ALL CLAIMS HOLD",
                asked.firstSeed,
                asked.lastSeed,
                (System.nanoTime() - begin) / 1e9);
        if (results != null) {
            claims.saveTo(
                    results, name, "reedmux lab run " + name + " --seeds " + asked.firstSeed + ".." + asked.lastSeed);
        }
        return claims.allPassed();
    }

    private static ScenarioChecks runRegion(ScenarioOptions asked, Consumer<String> progress)
            throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("reedmux-region");
        ScenarioChecks claims = RegionScenario.run(folder, asked.firstSeed, progress);
        if (claims.allPassed()) {
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        } else {
            progress.accept("the gatekeepers' logs stay in " + folder);
        }
        return claims;
    }
}
