package reedmux.lab.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import reedmux.lab.rules.RuleChecker.Rule;
import reedmux.lab.sim.SizeScenes.Day;
import reedmux.lab.sim.SizeScenes.Result;
import reedmux.lab.sim.World.Planted;

/** Fourteen and a hundred gatekeepers keep the rules in sum; faults put in show that they are seen. */
final class SizeScenesTest {

    @ParameterizedTest
    @EnumSource(Day.class)
    void fourteenKeepTheRules(Day day) {
        keeps(day, 14, 60);
    }

    @ParameterizedTest
    @EnumSource(Day.class)
    void aHundredKeepTheRules(Day day) {
        keeps(day, 100, 200);
    }

    private static void keeps(Day day, int gatekeepers, int providers) {
        Result result = SizeScenes.play(day, gatekeepers, providers, 3);
        assertEquals(List.of(), result.faults());
        for (Rule rule : List.of(Rule.ANSWER, Rule.DRAIN, Rule.COLD, Rule.CEILING, Rule.QUOTA)) {
            assertTrue(result.seen().getOrDefault(rule, 0) > 100, rule + " was looked at: " + result.seen());
        }
        assertTrue(result.served() > 0.5, "served " + result.served());
    }

    @ParameterizedTest
    @CsvSource({"SENDS_TO_NEWEST,JOIN,COLD", "TELLS_DRAINS_LATE,JOIN,DRAIN", "WHOLE_CEILING_EACH,HERD,CEILING"})
    void aFaultPutInIsSeenAtThatSize(Planted planted, Day day, Rule rule) {
        breaks(rule, SizeScenes.play(day, 14, 60, 3, planted));
        breaks(rule, SizeScenes.play(day, 100, 200, 3, planted));
    }

    /** At fourteen the bounds on attempts are enough; a hundred push a provider over that they think warm. */
    @Test
    void aHundredNeedToKnowWhoIsCold() {
        breaks(Rule.COLD, SizeScenes.play(Day.JOIN, 100, 200, 3, Planted.TELLS_NO_START));
    }

    private static void breaks(Rule rule, Result result) {
        assertTrue(
                result.faults().stream().anyMatch(fault -> fault.rule() == rule),
                rule + " is not among " + result.faults());
    }

    @Test
    void aSeedGivesTheSameDay() {
        assertEquals(SizeScenes.play(Day.HERD, 14, 60, 5), SizeScenes.play(Day.HERD, 14, 60, 5));
    }
}
