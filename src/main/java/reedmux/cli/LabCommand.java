package reedmux.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import reedmux.simulation.scenario.Scenarios;

/** {@code lab list} and {@code lab run SCENE}. */
public final class LabCommand extends Main.GatekeeperCommand {
    private static final Pattern SEEDS = Pattern.compile("([0-9]{1,9})(?:\\.\\.([0-9]{1,9}))?");
    private static final int FAILED = 1;
    private static final int BAD_USAGE = 2;

    @Argument(index = 0, metaVar = "run|list", usage = "run a scene, or list what there is", required = true)
    private String action;

    @Argument(index = 1, metaVar = "SCENE", usage = "the scene to run")
    private String scene;

    @Option(name = "--seeds", metaVar = "A..B", usage = "the seeds to play; a scene in real time plays the " + "first")
    private String seeds = "1..20";

    @Option(name = "--out", metaVar = "FOLDER", usage = "also keep the table there, as Markdown and CSV")
    private Path out;

    @Option(name = "--jar", metaVar = "JAR", usage = "for cost: the build to measure, else this one")
    private Path jar;

    @Option(name = "--vs", metaVar = "JAR", usage = "for cost: the build to compare with, else this one")
    private Path comparedJar;

    @Option(name = "--most", metaVar = "N", usage = "for capacity: the largest size to play")
    private int largestSize = 300;

    @Override
    int run() throws IOException, InterruptedException {
        Matcher range = SEEDS.matcher(seeds);
        if (action.equals("list")) {
            Scenarios.descriptions().forEach((name, shows) -> System.out.printf("%-16s %s%n", name, shows));
            return 0;
        } else if (!action.equals("run")) {
            return usageError("lab does not know '" + action + "': run or list");
        } else if (scene == null || !Scenarios.descriptions().containsKey(scene)) {
            return usageError((scene == null ? "which scene?" : "no scene '" + scene + "';") + " there are "
                    + String.join(", ", Scenarios.descriptions().keySet()));
        } else if (!range.matches()) {
            return usageError("--seeds is not A..B: " + seeds);
        }
        long first = Long.parseLong(range.group(1));
        long last = range.group(2) == null ? first : Long.parseLong(range.group(2));
        if (last < first) {
            return usageError("--seeds ends before it begins: " + seeds);
        }
        return Scenarios.run(
                        scene,
                        new Scenarios.ScenarioOptions(first, last, jar, comparedJar, largestSize, out),
                        out,
                        System.out,
                        line -> System.err.println("lab: " + line))
                ? 0
                : FAILED;
    }

    private static int usageError(String problem) {
        System.err.println("reedmux: " + problem);
        System.err.println("try: reedmux lab --help");
        return BAD_USAGE;
    }
}
