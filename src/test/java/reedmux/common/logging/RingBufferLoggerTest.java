package reedmux.common.logging;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** What of the lines in memory is written out, and when. */
public class RingBufferLoggerTest {
    @Test
    public void anErrorWritesBufferedLinesOnceUpToCapacity() {
        List<String> out = new ArrayList<>();
        long[] now = {0};
        RingBufferLogger ring = new RingBufferLogger("n", 2, out::add, () -> now[0]);
        ring.debug("one");
        now[0] = 5_000_000;
        ring.debug("two");
        ring.debug("three");
        ring.info("at once");
        ring.error("it broke");
        ring.error("again");
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
