package reedmux.common.logging;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests which buffered lines an error writes, and in which order. */
public class RingBufferLoggerTest {
    @Test
    public void errorWritesBufferedLinesOnceUpToCapacity() {
        List<String> writtenLines = new ArrayList<>();
        long[] nowNanos = {0};
        RingBufferLogger logger = new RingBufferLogger("n", 2, writtenLines::add, () -> nowNanos[0]);
        logger.debug("one");
        nowNanos[0] = 5_000_000;
        logger.debug("two");
        logger.debug("three");
        logger.info("at once");
        logger.error("it broke");
        logger.error("again");
        assertEquals(
                writtenLines,
                List.of(
                        "n 5ms at once",
                        "n (1 earlier lines were dropped)",
                        "n 5ms two",
                        "n 5ms three",
                        "n 5ms it broke",
                        "n 5ms again"));
    }
}
