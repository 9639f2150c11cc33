package reedmux.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** A scene's verdict: all claims hold, and there are some. */
final class ClaimsTest {
    @Test
    void figuresAloneProveNothing() {
        Claims claims = new Claims();
        assertFalse(claims.hold());
        claims.note("a figure", 7);
        assertFalse(claims.hold());
        claims.claim("one that holds", 1, "2", true);
        assertTrue(claims.hold());
        claims.claim("one that does not", 3, "2", false);
        assertFalse(claims.hold());
        assertEquals("""
                | claim | figure | bound | holds |
                | --- | --- | --- | --- |
                | a figure | 7 |  |  |
                | one that holds | 1 | 2 | yes |
                | one that does not | 3 | 2 | NO |
                """, claims.table());
    }
}
