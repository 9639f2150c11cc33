package reedmux.lab.world;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** A store that missed changes, or lost its disk, and is killed while it catches up. */
public class CatchUpTest {
    private static final int ITEMS = 2_000;

    /** Killed at many moments of a snapshot: never whole on disk without all, and all is there in the end. */
    @Test
    public void killedAtEachStepOfASnapshotItIsNotWholeTooEarly() {
        int between = 0;
        for (long after = 0; after < 40; after++) {
            CatchUp day = new CatchUp(7);
            day.change(0, ITEMS);
            day.world().run(2 * CatchUp.SECOND);
            day.late().losePower(CatchUp.SECOND / 10, true);
            day.world().run(CatchUp.SECOND / 10 + after * 500);
            if (after % 2 == 0) {
                day.late().kill(CatchUp.SECOND / 10);
            } else {
                day.late().losePower(CatchUp.SECOND / 10, false);
            }
            CatchUp.OnDisk left = day.onDisk();
            assertTrue(!left.whole() || left.items() == ITEMS, "after " + after / 2.0 + " ms: " + left);
            between += left.whole() ? 0 : 1;
            day.world().run(10 * CatchUp.SECOND);
            assertEquals(day.onDisk(), new CatchUp.OnDisk(ITEMS, true), "after " + after / 2.0 + " ms");
        }
        assertTrue(between > 5 && between < 40, between + " kills before it was whole");
    }

    /** What a restart costs is digests and what was missed, not what there is. */
    @Test
    public void aRestartCostsWhatWasMissed() {
        CatchUp day = new CatchUp(8);
        day.change(0, ITEMS);
        day.world().run(2 * CatchUp.SECOND);
        long before = day.got();
        day.late().losePower(CatchUp.SECOND, false);
        day.change(0, 10);
        day.world().run(5 * CatchUp.SECOND);
        assertTrue(day.got() - before < 60_000, day.got() - before + " bytes");
        assertEquals(day.onDisk().items(), ITEMS);
    }
}
