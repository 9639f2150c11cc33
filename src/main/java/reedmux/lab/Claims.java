package reedmux.lab;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** What a scene claims, each with its figure, its bound and whether it holds. */
public final class Claims {
    /** One claim, or a figure without a bound, which claims nothing. */
    public record Claim(String what, String figure, String bound, boolean holds) {
        private String verdict(String good, String bad) {
            return bound.isEmpty() ? "" : holds ? good : bad;
        }
    }

    private final List<Claim> all = new ArrayList<>();

    /** Notes a claim. */
    public void claim(String what, Object figure, Object bound, boolean holds) {
        all.add(new Claim(what, String.valueOf(figure), String.valueOf(bound), holds));
    }

    /** Notes a figure that is told for itself. */
    public void note(String what, Object figure) {
        all.add(new Claim(what, String.valueOf(figure), "", true));
    }

    /** Whether there are claims and all of them hold. */
    public boolean hold() {
        return all.stream().anyMatch(claim -> !claim.bound.isEmpty())
                && all.stream().allMatch(Claim::holds);
    }

    /** The table as Markdown. */
    public String table() {
        return "| claim | figure | bound | holds |\n| --- | --- | --- | --- |\n"
                + all.stream()
                        .map(claim -> "| " + claim.what + " | " + claim.figure + " | " + claim.bound + " | "
                                + claim.verdict("yes", "NO") + " |\n")
                        .collect(Collectors.joining());
    }

    /** Prints the table in columns. */
    void print(PrintStream out) {
        int what = all.stream().mapToInt(claim -> claim.what.length()).max().orElse(0);
        int figure = all.stream().mapToInt(claim -> claim.figure.length()).max().orElse(0);
        int bound = all.stream().mapToInt(claim -> claim.bound.length()).max().orElse(0);
        for (Claim claim : all) {
            out.printf(
                    "%-" + what + "s  %" + figure + "s  %-" + bound + "s  %s%n",
                    claim.what,
                    claim.figure,
                    claim.bound,
                    claim.verdict("holds", "FAILS"));
        }
    }

    void keep(Path folder, String name, String command) throws IOException {
        Files.createDirectories(folder);
        Files.writeString(folder.resolve(name + ".md"), "# " + name + "\n\n`" + command + "`\n\n" + table());
        Files.writeString(
                folder.resolve(name + ".csv"),
                "claim,figure,bound,holds\n"
                        + all.stream()
                                .map(claim -> quoted(claim.what)
                                        + ','
                                        + quoted(claim.figure)
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
