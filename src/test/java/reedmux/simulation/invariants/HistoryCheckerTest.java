package reedmux.simulation.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import reedmux.simulation.invariants.HistoryChecker.HistoryRule;
import reedmux.simulation.invariants.HistoryChecker.QuotaTolerance;
import reedmux.simulation.invariants.HistoryChecker.RuleParameters;
import reedmux.simulation.invariants.HistoryChecker.Violation;
import reedmux.simulation.region.InvariantScenarios;

/**
 * Plays the histories in {@code src/test/resources/histories}: of each rule at least one that breaks it and
 * no other, beside a near miss. A file holds several, each under {@code == TITLE : RULE or none}.
 */
public final class HistoryCheckerTest {
    private static final Path FOLDER = Path.of("src/test/resources/histories");
    private static final RuleParameters FIGURES =
            new RuleParameters(8_000, 250_000, 4, 1_000_000, 150_000, 4, true, new QuotaTolerance(1, 2_000_000));

    /** One history of a file, with the rule that it breaks. */
    public record HistoryCase(String title, String verdict, List<String> lines) {
        @Override
        public String toString() {
            return title;
        }
    }

    static List<HistoryCase> cases() throws IOException {
        List<HistoryCase> all = new ArrayList<>();
        try (Stream<Path> files = Files.list(FOLDER)) {
            for (Path file : files.sorted().toList()) {
                for (String line : Files.readAllLines(file)) {
                    if (line.startsWith("== ")) {
                        String[] head = line.substring(3).split(" : ");
                        all.add(new HistoryCase(head[0], head[1], new ArrayList<>()));
                    } else if (!all.isEmpty()) {
                        all.get(all.size() - 1).lines.add(line);
                    }
                }
            }
        }
        return all;
    }

    @ParameterizedTest
    @MethodSource("cases")
    void eachHistoryBreaksTheRuleThatItSays(HistoryCase one) {
        HistoryReader history = HistoryReader.check(FIGURES, one.lines);
        Set<String> broken = history.violations().stream()
                .map(fault -> fault.rule().name())
                .collect(Collectors.toCollection(TreeSet::new));
        assertEquals(one.verdict.equals("none") ? Set.of() : Set.of(one.verdict), broken, history.violations() + "");
        assertTrue(!history.checker().checks().isEmpty(), "nothing was looked at");
    }

    @Test
    void eachRuleIsBrokenOnceAtLeastAndNearlyOnce() throws IOException {
        Set<HistoryRule> broken = EnumSet.noneOf(HistoryRule.class);
        Set<HistoryRule> kept = EnumSet.noneOf(HistoryRule.class);
        for (HistoryCase one : cases()) {
            if (one.verdict.equals("none")) {
                kept.addAll(HistoryReader.check(FIGURES, one.lines)
                        .checker()
                        .checks()
                        .keySet());
            } else {
                broken.add(HistoryRule.valueOf(one.verdict));
            }
        }
        assertEquals(EnumSet.allOf(HistoryRule.class), broken);
        assertEquals(EnumSet.allOf(HistoryRule.class), kept);
    }

    @Test
    void whatCannotBeReadIsNoHistory() {
        for (List<String> lines : List.of(
                List.of("5 taken"),
                List.of("5 sneezes n0"),
                List.<String>of(),
                List.of("5 answered nobody served", "end 9"),
                List.of("end 9", "end 10"),
                List.of("5 told n0 s1 perhaps", "end 9"))) {
            assertThrows(IllegalArgumentException.class, () -> HistoryReader.check(FIGURES, lines), lines + "");
        }
    }

    /** Seeds that print themselves where a rule is broken; every rule has to have been looked at. */
    @Test
    void drawnHistoriesBreakNoRule() {
        Set<HistoryRule> seen = EnumSet.noneOf(HistoryRule.class);
        for (long seed = 0; seed < 150; seed++) {
            InvariantScenarios.InvariantRun result = InvariantScenarios.storm(seed, 20);
            assertEquals(List.<Violation>of(), result.violations(), "seed " + seed);
            seen.addAll(result.checks().keySet());
        }
        assertEquals(EnumSet.complementOf(EnumSet.of(HistoryRule.AWAY)), seen);
    }

    /** The same seed gives the same history, and its text read again the same verdict. */
    @Test
    void aSeedReplaysToTheSameHistoryAndItsTextToTheSameVerdict() {
        InvariantScenarios.InvariantRun one = InvariantScenarios.storm(7, 10);
        assertEquals(one.history(), InvariantScenarios.storm(7, 10).history());
        HistoryReader read = HistoryReader.check(FIGURES, one.history().lines().toList());
        assertEquals(one.violations(), read.violations());
        assertEquals(one.checks(), read.checker().checks());
    }
}
