package reedmux.simulation.scenario;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** What a scene claims, each with its figure, its bound and whether it holds. */
public final class ScenarioChecks {
    /** One claim, or a figure without a bound, which claims nothing. */
    public record ScenarioCheck(String name, String value, String bound, boolean passed) {
        private String verdict(String good, String bad) {
            return bound.isEmpty() ? "" : passed ? good : bad;
        }
    }

    private final List<ScenarioCheck> checks = new ArrayList<>();

    /** Notes a claim. */
    public void check(String what, Object figure, Object bound, boolean holds) {
        checks.add(new ScenarioCheck(what, String.valueOf(figure), String.valueOf(bound), holds));
    }

    /** Notes a figure that is told for itself. */
    public void record(String what, Object figure) {
        checks.add(new ScenarioCheck(what, String.valueOf(figure), "", true));
    }

    /** Whether there are claims and all of them hold. */
    public boolean allPassed() {
        return checks.stream().anyMatch(claim -> !claim.bound.isEmpty())
                && checks.stream().allMatch(ScenarioCheck::passed);
    }

    /** The table as Markdown. */
    public String markdownTable() {
        return "| claim | figure | bound | holds |\n| --- | --- | --- | --- |\n"
                + checks.stream()
                        .map(claim -> "| " + claim.name + " | " + claim.value + " | " + claim.bound + " | "
                                + claim.verdict("yes", "NO") + " |\n")
                        .collect(Collectors.joining());
    }

    /** Prints the table in columns. */
    void print(PrintStream out) {
        int what = checks.stream().mapToInt(claim -> claim.name.length()).max().orElse(0);
        int figure =
                checks.stream().mapToInt(claim -> claim.value.length()).max().orElse(0);
        int bound =
                checks.stream().mapToInt(claim -> claim.bound.length()).max().orElse(0);
        for (ScenarioCheck claim : checks) {
            out.printf(
                    "%-" + what + "s  %" + figure + "s  %-" + bound + "s  %s%n",
                    claim.name,
                    claim.value,
                    claim.bound,
                    claim.verdict("holds", "FAILS"));
        }
    }

    void saveTo(Path folder, String name, String command) throws IOException {
        Files.createDirectories(folder);
        Files.writeString(folder.resolve(name + ".md"), "# " + name + "\n\n`" + command + "`\n\n" + markdownTable());
        Files.writeString(
                folder.resolve(name + ".csv"),
                "claim,figure,bound,holds\n"
                        + checks.stream()
                                .map(claim -> quoted(claim.name)
                                        + ','
                                        + quoted(claim.value)
                                        + ','
                                        + quoted(claim.bound)
                                        + ','
                                        + claim.verdict("true", "false")
                                        + '\n')
                                .collect(Collectors.joining()));
    }

    private static String quoted(String text) {
        return '"' + text.replace("\"", "\"\"") + '"';
    }
}
