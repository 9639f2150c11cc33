package reedmux.cli;

import java.io.IOException;
import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import reedmux.simulation.scenario.Scenarios;

/** Runs a scenario against gatekeepers on loopback or in virtual time, or lists the scenarios. */
public final class LabCommand extends Main.GatekeeperCommand {
    @Argument(index = 0, metaVar = "run|list", usage = "run a scenario, or list the scenarios", required = true)
    private String action;

    @Argument(index = 1, metaVar = "SCENE", usage = "the scenario to run")
    private String scene;

    @Option(name = "--seeds", metaVar = "A..B", usage = "the seeds to run; a real-time scenario runs only the first")
    private String seeds = "1..20";

    @Option(name = "--out", metaVar = "FOLDER", usage = "also write the table to this folder, as Markdown and CSV")
    private Path outputFolder;

    @Option(name = "--jar", metaVar = "JAR", usage = "for cost: the build to measure; this build by default")
    private Path measuredJar;

    @Option(name = "--vs", metaVar = "JAR", usage = "for cost: the build to compare with; this build by default")
    private Path comparedJar;

    @Option(name = "--most", metaVar = "N", usage = "for capacity: the largest size to run")
    private int largestSize = 300;

    @Override
    int run() throws IOException, InterruptedException {
        SeedRange range = SeedRange.parse(seeds);
        if (action.equals("list")) {
            Scenarios.descriptions().forEach((name, description) -> System.out.printf("%-16s %s%n", name, description));
            return ExitCode.OK;
        } else if (!action.equals("run")) {
            return usageError("lab does not know '" + action + "': run or list");
        } else if (scene == null || !Scenarios.descriptions().containsKey(scene)) {
            return usageError((scene == null ? "which scene?" : "no scene '" + scene + "';") + " there are "
                    + String.join(", ", Scenarios.descriptions().keySet()));
        } else if (range == null) {
            return usageError("--seeds is not A..B: " + seeds);
        }
        if (range.last() < range.first()) {
            return usageError("--seeds ends before it begins: " + seeds);
        }
        return Scenarios.run(
                        scene,
                        new Scenarios.ScenarioOptions(
                                range.first(), range.last(), measuredJar, comparedJar, largestSize, outputFolder),
                        outputFolder,
                        System.out,
                        line -> System.err.println("lab: " + line))
                ? ExitCode.OK
                : ExitCode.FAILED;
    }

    private static int usageError(String problem) {
        System.err.println("reedmux: " + problem);
        System.err.println("try: reedmux lab --help");
        return ExitCode.BAD_USAGE;
    }
}
