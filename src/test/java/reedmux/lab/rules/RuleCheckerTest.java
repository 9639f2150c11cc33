package reedmux.lab.rules;

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
import reedmux.lab.rules.RuleChecker.Fault;
import reedmux.lab.rules.RuleChecker.Figures;
import reedmux.lab.rules.RuleChecker.Rule;
import reedmux.lab.rules.RuleChecker.Tolerance;
import reedmux.lab.sim.RuleScenes;

/**
 * Plays the histories in {@code src/test/resources/histories}: of each rule at least one that breaks it and
 * no other, beside a near miss. A file holds several, each under {@code == TITLE : RULE or none}.
 */
final class RuleCheckerTest {
    private static final Path FOLDER = Path.of("src/test/resources/histories");
    private static final Figures FIGURES =
            new Figures(8_000, 250_000, 4, 1_000_000, 150_000, 4, true, new Tolerance(1, 2_000_000));

    record Case(String title, String verdict, List<String> lines) {
        @Override
        public String toString() {
            return title;
        }
    }

    static List<Case> cases() throws IOException {
        List<Case> all = new ArrayList<>();
        try (Stream<Path> files = Files.list(FOLDER)) {
            for (Path file : files.sorted().toList()) {
                for (String line : Files.readAllLines(file)) {
                    if (line.startsWith("== ")) {
                        String[] head = line.substring(3).split(" : ");
                        all.add(new Case(head[0], head[1], new ArrayList<>()));
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
    void eachHistoryBreaksTheRuleThatItSays(Case one) {
        History history = History.check(FIGURES, one.lines);
        Set<String> broken = history.faults().stream()
                .map(fault -> fault.rule().name())
                .collect(Collectors.toCollection(TreeSet::new));
        assertEquals(one.verdict.equals("none") ? Set.of() : Set.of(one.verdict), broken, history.faults() + "");
        assertTrue(!history.checker().seen().isEmpty(), "nothing was looked at");
    }

    @Test
    void eachRuleIsBrokenOnceAtLeastAndNearlyOnce() throws IOException {
        Set<Rule> broken = EnumSet.noneOf(Rule.class);
        Set<Rule> kept = EnumSet.noneOf(Rule.class);
        for (Case one : cases()) {
            if (one.verdict.equals("none")) {
                kept.addAll(History.check(FIGURES, one.lines).checker().seen().keySet());
            } else {
                broken.add(Rule.valueOf(one.verdict));
            }
        }
        assertEquals(EnumSet.allOf(Rule.class), broken);
        assertEquals(EnumSet.allOf(Rule.class), kept);
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
            assertThrows(IllegalArgumentException.class, () -> History.check(FIGURES, lines), lines + "");
        }
    }

    /** Seeds that print themselves where a rule is broken; every rule has to have been looked at. */
    @Test
    void drawnHistoriesBreakNoRule() {
        Set<Rule> seen = EnumSet.noneOf(Rule.class);
        for (long seed = 0; seed < 150; seed++) {
            RuleScenes.Result result = RuleScenes.storm(seed, 20);
            assertEquals(List.<Fault>of(), result.faults(), "seed " + seed);
            seen.addAll(result.seen().keySet());
        }
        assertEquals(EnumSet.complementOf(EnumSet.of(Rule.AWAY)), seen);
    }

    /** The same seed gives the same history, and its text read again the same verdict. */
    @Test
    void aSeedReplaysToTheSameHistoryAndItsTextToTheSameVerdict() {
        RuleScenes.Result one = RuleScenes.storm(7, 10);
        assertEquals(one.history(), RuleScenes.storm(7, 10).history());
        History read = History.check(FIGURES, one.history().lines().toList());
        assertEquals(one.faults(), read.faults());
        assertEquals(one.seen(), read.checker().seen());
    }
}
