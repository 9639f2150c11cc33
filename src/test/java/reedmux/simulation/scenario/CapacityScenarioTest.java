package reedmux.simulation.scenario;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import reedmux.simulation.cluster.GrowthExperiment;

/** What the table of sizes is reckoned with, and that bytes at a size come out the same each time. */
public class CapacityScenarioTest {
    @Test
    public void fitsLinearAndQuadraticGrowth() {
        double[] sizes = {30, 100, 300};
        assertEquals(CapacityScenario.growthPower(sizes, new double[] {60, 200, 600}), 1, 1e-9);
        assertEquals(CapacityScenario.growthPower(sizes, new double[] {900, 10_000, 90_000}), 2, 1e-9);
        assertEquals(CapacityScenario.extrapolate(1_000, sizes, new double[] {40, 110, 310}, 0.9), 1_010, 1e-9);
        assertEquals(CapacityScenario.extrapolate(3_000, sizes, new double[] {900, 10_000, 90_000}, 2), 9e6, 1);
    }

    /** One restart costs each proxy and each registry what it comes to, however many others there are. */
    @Test
    public void restartCostIsNotQuadratic() {
        List<GrowthExperiment.GrowthRow> few = GrowthExperiment.run(new GrowthExperiment.ClusterSize(10, 3, 4));
        List<GrowthExperiment.GrowthRow> many = GrowthExperiment.run(new GrowthExperiment.ClusterSize(40, 3, 4));
        for (int i = 0; i < few.size(); i++) {
            if (!few.get(i).phase().equals("roll")) {
                assertTrue(many.get(i).kilobytes() <= 4.6 * few.get(i).kilobytes(), few.get(i) + " " + many.get(i));
            }
        }
        assertEquals(
                GrowthExperiment.run(new GrowthExperiment.ClusterSize(10, 3, 4))
                        .get(1)
                        .kilobytes(),
                few.get(1).kilobytes());
    }
}
