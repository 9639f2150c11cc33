package reedmux.simulation.region;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import reedmux.simulation.invariants.HistoryChecker.HistoryRule;
import reedmux.simulation.region.RegionWorld.InjectedFault;
import reedmux.simulation.region.ScaleScenarios.ScaleRun;
import reedmux.simulation.region.ScaleScenarios.ScaleScenario;

/** Fourteen and a hundred gatekeepers keep the rules in sum; faults put in show that they are seen. */
final class ScaleScenariosTest {

    @ParameterizedTest
    @EnumSource(ScaleScenario.class)
    void fourteenKeepTheRules(ScaleScenario day) {
        keeps(day, 14, 60);
    }

    @ParameterizedTest
    @EnumSource(ScaleScenario.class)
    void aHundredKeepTheRules(ScaleScenario day) {
        keeps(day, 100, 200);
    }

    private static void keeps(ScaleScenario day, int gatekeepers, int providers) {
        ScaleRun result = ScaleScenarios.play(day, gatekeepers, providers, 3);
        assertEquals(List.of(), result.violations());
        for (HistoryRule rule : List.of(
                HistoryRule.ANSWER, HistoryRule.DRAIN, HistoryRule.COLD, HistoryRule.CEILING, HistoryRule.QUOTA)) {
            assertTrue(result.checks().getOrDefault(rule, 0) > 100, rule + " was looked at: " + result.checks());
        }
        assertTrue(result.served() > 0.5, "served " + result.served());
    }

    @ParameterizedTest
    @CsvSource({"SENDS_TO_NEWEST,JOIN,COLD", "TELLS_DRAINS_LATE,JOIN,DRAIN", "WHOLE_CEILING_EACH,HERD,CEILING"})
    void aFaultPutInIsSeenAtThatSize(InjectedFault planted, ScaleScenario day, HistoryRule rule) {
        breaks(rule, ScaleScenarios.play(day, 14, 60, 3, planted));
        breaks(rule, ScaleScenarios.play(day, 100, 200, 3, planted));
    }

    /** At fourteen the bounds on attempts are enough; a hundred push a provider over that they think warm. */
    @Test
    void aHundredNeedToKnowWhoIsCold() {
        for (int seed : new int[] {1, 4, 5}) {
            breaks(
                    HistoryRule.COLD,
                    ScaleScenarios.play(ScaleScenario.JOIN, 100, 200, seed, InjectedFault.TELLS_NO_START));
        }
    }

    private static void breaks(HistoryRule rule, ScaleRun result) {
        assertTrue(
                result.violations().stream().anyMatch(fault -> fault.rule() == rule),
                rule + " is not among " + result.violations());
    }

    @Test
    void aSeedGivesTheSameDay() {
        assertEquals(
                ScaleScenarios.play(ScaleScenario.HERD, 14, 60, 5), ScaleScenarios.play(ScaleScenario.HERD, 14, 60, 5));
    }
}
