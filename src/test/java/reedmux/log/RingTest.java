package reedmux.log;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** What of the lines in memory is written out, and when. */
public class RingTest {
    @Test
    public void whatLedToItIsWrittenOnceAndBounded() {
        List<String> out = new ArrayList<>();
        long[] now = {0};
        Ring ring = new Ring("n", 2, out::add, () -> now[0]);
        ring.note("one");
        now[0] = 5_000_000;
        ring.note("two");
        ring.note("three");
        ring.tell("at once");
        ring.wrong("it broke");
        ring.wrong("again");
        assertEquals(
                out,
                List.of(
                        "n 5ms at once",
                        "n (1 earlier lines are gone)",
                        "n 5ms two",
                        "n 5ms three",
                        "n 5ms it broke",
                        "n 5ms again"));
    }
}
