package reedmux.simulation.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests complete simulated runs of the production programs in virtual time. */
public class SimulatedRunBatchTest {

    @Test
    public void randomRunsViolateNoInvariant() throws InterruptedException {
        List<String> violations = new ArrayList<>();
        SimulatedRunBatch.BatchTotals totals = new SimulatedRunBatch(new SimulatedRun.RunOptions(8, 3, 12, false))
                .run(
                        1,
                        24,
                        4,
                        line -> {},
                        outcome -> outcome.violations()
                                .forEach(line -> violations.add("seed " + outcome.seed() + ": " + line)));
        assertEquals(violations, List.of());
        assertTrue(totals.served() > 0.7 * totals.requests(), totals.served() + " served of " + totals.requests());
    }

    @Test
    public void fiveCoreMachinesViolateNoInvariant() throws InterruptedException {
        List<String> violations = new ArrayList<>();
        new SimulatedRunBatch(new SimulatedRun.RunOptions(6, 5, 8, false))
                .run(
                        101,
                        106,
                        4,
                        line -> {},
                        outcome -> outcome.violations()
                                .forEach(line -> violations.add("seed " + outcome.seed() + ": " + line)));
        assertEquals(violations, List.of());
    }

    /** Without ballots, seeds 91 and 110 of this range leave a configuration to which nothing can be added. */
    @Test
    public void contendingOperatorsLeaveValidConfiguration() throws InterruptedException {
        List<String> violations = new ArrayList<>();
        new SimulatedRunBatch(new SimulatedRun.RunOptions(4, 5, 1, true))
                .run(
                        86,
                        115,
                        4,
                        line -> {},
                        outcome -> outcome.violations()
                                .forEach(line -> violations.add("seed " + outcome.seed() + ": " + line)));
        assertEquals(violations, List.of());
    }

    @Test
    public void repeatedSeedGivesSameDigest() throws InterruptedException {
        long firstDigest = new SimulatedRunBatch(new SimulatedRun.RunOptions(5, 3, 6, false))
                .run(7, 9, 1, line -> {}, outcome -> {})
                .digest();
        long secondDigest = new SimulatedRunBatch(new SimulatedRun.RunOptions(5, 3, 6, false))
                .run(7, 9, 3, line -> {}, outcome -> {})
                .digest();
        assertEquals(secondDigest, firstDigest);
    }

    @DataProvider
    public Object[][] faultStorms() {
        return new Object[][] {{1, 3}, {1, 5}, {2, 3}, {2, 4}, {3, 3}, {3, 5}, {4, 3}, {5, 3}};
    }

    /** Runs dense in the faults that {@link FaultStorm} describes for each point. */
    @Test(dataProvider = "faultStorms")
    public void faultStormViolatesNoInvariant(int point, int cores) throws InterruptedException {
        List<String> violations = new ArrayList<>();
        new SimulatedRunBatch(new SimulatedRun.RunOptions(6, cores, 1, false, point, true))
                .run(
                        1,
                        3,
                        4,
                        line -> {},
                        outcome -> outcome.violations()
                                .forEach(line -> violations.add("seed " + outcome.seed() + ": " + line)));
        assertEquals(violations, List.of());
    }

    @Test
    public void repeatedStormSeedGivesSameDigest() throws InterruptedException {
        SimulatedRun.RunOptions options = new SimulatedRun.RunOptions(5, 5, 1, false, 2, true);
        long firstDigest = new SimulatedRunBatch(options)
                .run(5, 6, 1, line -> {}, outcome -> {})
                .digest();
        assertEquals(
                new SimulatedRunBatch(options)
                        .run(5, 6, 2, line -> {}, outcome -> {})
                        .digest(),
                firstDigest);
    }
}
