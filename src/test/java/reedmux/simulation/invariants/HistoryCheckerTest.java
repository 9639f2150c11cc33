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
 * Checks the histories in {@code src/test/resources/histories}. For each rule there is at least one history that
 * violates this rule only, and one that just complies with it. A file holds several histories, each introduced by a
 * line {@code == TITLE : RULE or none}.
 */
public final class HistoryCheckerTest {
    private static final Path HISTORY_FOLDER = Path.of("src/test/resources/histories");
    private static final RuleParameters RULE_PARAMETERS =
            new RuleParameters(8_000, 250_000, 4, 1_000_000, 150_000, 4, true, new QuotaTolerance(1, 2_000_000));

    /** One history of a file and the rule that it violates, or "none". */
    public record HistoryCase(String title, String expectedRule, List<String> lines) {
        @Override
        public String toString() {
            return title;
        }
    }

    static List<HistoryCase> historyCases() throws IOException {
        List<HistoryCase> all = new ArrayList<>();
        try (Stream<Path> files = Files.list(HISTORY_FOLDER)) {
            for (Path file : files.sorted().toList()) {
                for (String line : Files.readAllLines(file)) {
                    if (line.startsWith("== ")) {
                        String[] titleAndRule = line.substring(3).split(" : ");
                        all.add(new HistoryCase(titleAndRule[0], titleAndRule[1], new ArrayList<>()));
                    } else if (!all.isEmpty()) {
                        all.get(all.size() - 1).lines.add(line);
                    }
                }
            }
        }
        return all;
    }

    @ParameterizedTest
    @MethodSource("historyCases")
    void historyBreaksExactlyItsExpectedRule(HistoryCase historyCase) {
        HistoryReader reader = HistoryReader.check(RULE_PARAMETERS, historyCase.lines);
        Set<String> violatedRules = reader.violations().stream()
                .map(violation -> violation.rule().name())
                .collect(Collectors.toCollection(TreeSet::new));
        assertEquals(
                historyCase.expectedRule.equals("none") ? Set.of() : Set.of(historyCase.expectedRule),
                violatedRules,
                reader.violations() + "");
        assertTrue(!reader.checker().checks().isEmpty(), "no rule was checked");
    }

    @Test
    void everyRuleHasViolatingAndCompliantHistories() throws IOException {
        Set<HistoryRule> violatedRules = EnumSet.noneOf(HistoryRule.class);
        Set<HistoryRule> compliantRules = EnumSet.noneOf(HistoryRule.class);
        for (HistoryCase historyCase : historyCases()) {
            if (historyCase.expectedRule.equals("none")) {
                compliantRules.addAll(HistoryReader.check(RULE_PARAMETERS, historyCase.lines)
                        .checker()
                        .checks()
                        .keySet());
            } else {
                violatedRules.add(HistoryRule.valueOf(historyCase.expectedRule));
            }
        }
        assertEquals(EnumSet.allOf(HistoryRule.class), violatedRules);
        assertEquals(EnumSet.allOf(HistoryRule.class), compliantRules);
    }

    @Test
    void malformedHistoriesAreRejected() {
        for (List<String> lines : List.of(
                List.of("5 taken"),
                List.of("5 sneezes n0"),
                List.<String>of(),
                List.of("5 answered nobody served", "end 9"),
                List.of("end 9", "end 10"),
                List.of("5 told n0 s1 perhaps", "end 9"))) {
            assertThrows(IllegalArgumentException.class, () -> HistoryReader.check(RULE_PARAMETERS, lines), lines + "");
        }
    }

    /** Random scenarios violate no rule; a failure names the seed. Every rule but AWAY must have been checked. */
    @Test
    void randomScenariosViolateNoRule() {
        Set<HistoryRule> checkedRules = EnumSet.noneOf(HistoryRule.class);
        for (long seed = 0; seed < 150; seed++) {
            InvariantScenarios.InvariantRun result = InvariantScenarios.storm(seed, 20);
            assertEquals(List.<Violation>of(), result.violations(), "seed " + seed);
            checkedRules.addAll(result.checks().keySet());
        }
        assertEquals(EnumSet.complementOf(EnumSet.of(HistoryRule.AWAY)), checkedRules);
    }

    /** A seed always gives the same history, and checking its transcript gives the same violations and counts. */
    @Test
    void sameSeedGivesSameHistoryAndItsTranscriptSameViolations() {
        InvariantScenarios.InvariantRun run = InvariantScenarios.storm(7, 10);
        assertEquals(run.history(), InvariantScenarios.storm(7, 10).history());
        HistoryReader reader =
                HistoryReader.check(RULE_PARAMETERS, run.history().lines().toList());
        assertEquals(run.violations(), reader.violations());
        assertEquals(run.checks(), reader.checker().checks());
    }
}
