package reedmux.simulation.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** A scene's verdict: all claims hold, and there are some. */
final class ScenarioChecksTest {
    @Test
    void valuesWithoutABoundPassNothing() {
        ScenarioChecks claims = new ScenarioChecks();
        assertFalse(claims.allPassed());
        claims.record("a figure", 7);
        assertFalse(claims.allPassed());
        claims.check("one that holds", 1, "2", true);
        assertTrue(claims.allPassed());
        claims.check("one that does not", 3, "2", false);
        assertFalse(claims.allPassed());
        assertEquals("""
                | claim | figure | bound | holds |
                | --- | --- | --- | --- |
                | a figure | 7 |  |  |
                | one that holds | 1 | 2 | yes |
                | one that does not | 3 | 2 | NO |
                """, claims.markdownTable());
    }
}
