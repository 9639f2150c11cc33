package reedmux.lab.stage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;
import reedmux.boot.BootException;

/** A proxy that is told to end finishes what it has, and serves what still comes. */
public class LeaveTest {
    @Test
    public void whatIsUnderWayEndsWholeAndWhatComesIsServed() throws IOException, BootException {
        try (Stage stage = new Stage(79, 2, 3)) {
            assertEquals(stage.adjust(Stage.FIRST).status(), 200);
            assertTrue(stage.ready(20_000));
            List<CompletableFuture<Stage.Told>> underWay = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                int number = i;
                underWay.add(CompletableFuture.supplyAsync(() -> {
                    try {
                        return stage.request(0, "POST", "/order/slow", "slow-" + number, "x");
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                }));
            }
            assertEquals(stage.request(0, "POST", "/order/x", "before", "x").status(), 200);
            stage.leave(0);
            assertEquals(stage.request(0, "POST", "/order/x", "after", "x").status(), 200);
            assertEquals(stage.readiness(0).status(), 503);
            assertEquals(stage.readiness(1).status(), 200);
            for (int i = 0; i < underWay.size(); i++) {
                assertEquals(underWay.get(i).join().status(), 200);
                assertEquals(Collections.frequency(stage.ran(), "slow-" + i), 1);
            }
        }
    }
}
