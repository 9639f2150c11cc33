package reedmux.simulation.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests a store that missed changes, or lost its disk, and crashes while it catches up. */
public class CatchUpExperimentTest {
    private static final int ITEMS = 2_000;

    /**
     * The store crashes at many points of the snapshot transfer. Its disk is never marked complete while items are
     * missing, and it holds all items in the end.
     */
    @Test
    public void storeKilledDuringSnapshotIsNotMarkedCompleteTooEarly() {
        int incompleteCount = 0;
        for (long delayHalfMillis = 0; delayHalfMillis < 40; delayHalfMillis++) {
            CatchUpExperiment experiment = new CatchUpExperiment(7);
            experiment.changeItems(0, ITEMS);
            experiment.simulation().runFor(2 * CatchUpExperiment.SECOND_MICROS);
            experiment.laggard().losePower(CatchUpExperiment.SECOND_MICROS / 10, true);
            experiment.simulation().runFor(CatchUpExperiment.SECOND_MICROS / 10 + delayHalfMillis * 500);
            if (delayHalfMillis % 2 == 0) {
                experiment.laggard().kill(CatchUpExperiment.SECOND_MICROS / 10);
            } else {
                experiment.laggard().losePower(CatchUpExperiment.SECOND_MICROS / 10, false);
            }
            CatchUpExperiment.DiskContent contentAfterKill = experiment.readDisk();
            assertTrue(
                    !contentAfterKill.complete() || contentAfterKill.items() == ITEMS,
                    "after " + delayHalfMillis / 2.0 + " ms: " + contentAfterKill);
            incompleteCount += contentAfterKill.complete() ? 0 : 1;
            experiment.simulation().runFor(10 * CatchUpExperiment.SECOND_MICROS);
            assertEquals(
                    experiment.readDisk(),
                    new CatchUpExperiment.DiskContent(ITEMS, true),
                    "after " + delayHalfMillis / 2.0 + " ms");
        }
        assertTrue(
                incompleteCount > 5 && incompleteCount < 40, incompleteCount + " crashes before the disk was complete");
    }

    /** A restarted store receives digests and the changes that it missed, not all items again. */
    @Test
    public void restartedStoreReceivesOnlyMissedChanges() {
        CatchUpExperiment experiment = new CatchUpExperiment(8);
        experiment.changeItems(0, ITEMS);
        experiment.simulation().runFor(2 * CatchUpExperiment.SECOND_MICROS);
        long receivedBytesBefore = experiment.receivedBytes();
        experiment.laggard().losePower(CatchUpExperiment.SECOND_MICROS, false);
        experiment.changeItems(0, 10);
        experiment.simulation().runFor(5 * CatchUpExperiment.SECOND_MICROS);
        assertTrue(
                experiment.receivedBytes() - receivedBytesBefore < 60_000,
                experiment.receivedBytes() - receivedBytesBefore + " bytes");
        assertEquals(experiment.readDisk().items(), ITEMS);
    }
}
