package reedmux.lab;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import reedmux.lab.world.Growth;

/** What the table of sizes is reckoned with, and that bytes at a size come out the same each time. */
public class CapacitySceneTest {
    @Test
    public void thePowerOfALineAndOfASquare() {
        double[] sizes = {30, 100, 300};
        assertEquals(CapacityScene.power(sizes, new double[] {60, 200, 600}), 1, 1e-9);
        assertEquals(CapacityScene.power(sizes, new double[] {900, 10_000, 90_000}), 2, 1e-9);
        assertEquals(CapacityScene.at(1_000, sizes, new double[] {40, 110, 310}, 0.9), 1_010, 1e-9);
        assertEquals(CapacityScene.at(3_000, sizes, new double[] {900, 10_000, 90_000}, 2), 9e6, 1);
    }

    /** One restart costs each proxy and each registry what it comes to, however many others there are. */
    @Test
    public void aRestartCostsNoSquare() {
        List<Growth.Row> few = Growth.play(new Growth.Size(10, 3, 4));
        List<Growth.Row> many = Growth.play(new Growth.Size(40, 3, 4));
        for (int i = 0; i < few.size(); i++) {
            if (!few.get(i).phase().equals("roll")) {
                assertTrue(many.get(i).kilobytes() <= 4.6 * few.get(i).kilobytes(), few.get(i) + " " + many.get(i));
            }
        }
        assertEquals(
                Growth.play(new Growth.Size(10, 3, 4)).get(1).kilobytes(),
                few.get(1).kilobytes());
    }
}
