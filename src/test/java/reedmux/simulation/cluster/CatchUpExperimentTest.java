package reedmux.simulation.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** A store that missed changes, or lost its disk, and is killed while it catches up. */
public class CatchUpExperimentTest {
    private static final int ITEMS = 2_000;

    /** Killed at many moments of a snapshot: never whole on disk without all, and all is there in the end. */
    @Test
    public void killedAtEachStepOfASnapshotItIsNotWholeTooEarly() {
        int between = 0;
        for (long after = 0; after < 40; after++) {
            CatchUpExperiment day = new CatchUpExperiment(7);
            day.changeItems(0, ITEMS);
            day.simulation().runFor(2 * CatchUpExperiment.SECOND_MICROS);
            day.laggard().losePower(CatchUpExperiment.SECOND_MICROS / 10, true);
            day.simulation().runFor(CatchUpExperiment.SECOND_MICROS / 10 + after * 500);
            if (after % 2 == 0) {
                day.laggard().kill(CatchUpExperiment.SECOND_MICROS / 10);
            } else {
                day.laggard().losePower(CatchUpExperiment.SECOND_MICROS / 10, false);
            }
            CatchUpExperiment.DiskContent left = day.readDisk();
            assertTrue(!left.complete() || left.items() == ITEMS, "after " + after / 2.0 + " ms: " + left);
            between += left.complete() ? 0 : 1;
            day.simulation().runFor(10 * CatchUpExperiment.SECOND_MICROS);
            assertEquals(
                    day.readDisk(), new CatchUpExperiment.DiskContent(ITEMS, true), "after " + after / 2.0 + " ms");
        }
        assertTrue(between > 5 && between < 40, between + " kills before it was whole");
    }

    /** What a restart costs is digests and what was missed, not what there is. */
    @Test
    public void aRestartCostsWhatWasMissed() {
        CatchUpExperiment day = new CatchUpExperiment(8);
        day.changeItems(0, ITEMS);
        day.simulation().runFor(2 * CatchUpExperiment.SECOND_MICROS);
        long before = day.receivedBytes();
        day.laggard().losePower(CatchUpExperiment.SECOND_MICROS, false);
        day.changeItems(0, 10);
        day.simulation().runFor(5 * CatchUpExperiment.SECOND_MICROS);
        assertTrue(day.receivedBytes() - before < 60_000, day.receivedBytes() - before + " bytes");
        assertEquals(day.readDisk().items(), ITEMS);
    }
}
