package reedmux.simulation.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Whole days with the production programs, in virtual time. */
public class DayRunnerTest {

    @Test
    public void drawnDaysBreakNoRule() throws InterruptedException {
        List<String> broken = new ArrayList<>();
        SimulatedRunBatch.BatchTotals sum = new SimulatedRunBatch(new SimulatedRun.RunOptions(8, 3, 12, false))
                .run(
                        1,
                        24,
                        4,
                        line -> {},
                        day -> day.violations().forEach(line -> broken.add("seed " + day.seed() + ": " + line)));
        assertEquals(broken, List.of());
        assertTrue(sum.served() > 0.7 * sum.requests(), sum.served() + " of " + sum.requests());
    }

    @Test
    public void aCoreOfFiveBreaksNoRule() throws InterruptedException {
        List<String> broken = new ArrayList<>();
        new SimulatedRunBatch(new SimulatedRun.RunOptions(6, 5, 8, false))
                .run(
                        101,
                        106,
                        4,
                        line -> {},
                        day -> day.violations().forEach(line -> broken.add("seed " + day.seed() + ": " + line)));
        assertEquals(broken, List.of());
    }

    /** Without ballots seeds 91 and 110 of these leave a configuration to which nothing can be added. */
    @Test
    public void operatorsThatContendLeaveNothingInvalidInForce() throws InterruptedException {
        List<String> broken = new ArrayList<>();
        new SimulatedRunBatch(new SimulatedRun.RunOptions(4, 5, 1, true))
                .run(
                        86,
                        115,
                        4,
                        line -> {},
                        day -> day.violations().forEach(line -> broken.add("seed " + day.seed() + ": " + line)));
        assertEquals(broken, List.of());
    }

    @Test
    public void aSeedPlayedAgainGivesTheSameDigest() throws InterruptedException {
        long once = new SimulatedRunBatch(new SimulatedRun.RunOptions(5, 3, 6, false))
                .run(7, 9, 1, line -> {}, day -> {})
                .digest();
        long again = new SimulatedRunBatch(new SimulatedRun.RunOptions(5, 3, 6, false))
                .run(7, 9, 3, line -> {}, day -> {})
                .digest();
        assertEquals(again, once);
    }

    @DataProvider
    public Object[][] points() {
        return new Object[][] {{1, 3}, {1, 5}, {2, 3}, {2, 4}, {3, 3}, {3, 5}, {4, 3}, {5, 3}};
    }

    /** Days full of what the operators' points tell of: see {@link FaultStorm}. */
    @Test(dataProvider = "points")
    public void aStormBreaksNoRule(int point, int cores) throws InterruptedException {
        List<String> broken = new ArrayList<>();
        new SimulatedRunBatch(new SimulatedRun.RunOptions(6, cores, 1, false, point, true))
                .run(
                        1,
                        3,
                        4,
                        line -> {},
                        day -> day.violations().forEach(line -> broken.add("seed " + day.seed() + ": " + line)));
        assertEquals(broken, List.of());
    }

    @Test
    public void aStormPlayedAgainGivesTheSameDigest() throws InterruptedException {
        SimulatedRun.RunOptions shape = new SimulatedRun.RunOptions(5, 5, 1, false, 2, true);
        long once =
                new SimulatedRunBatch(shape).run(5, 6, 1, line -> {}, day -> {}).digest();
        assertEquals(
                new SimulatedRunBatch(shape).run(5, 6, 2, line -> {}, day -> {}).digest(), once);
    }
}
