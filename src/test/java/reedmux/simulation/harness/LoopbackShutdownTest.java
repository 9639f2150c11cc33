package reedmux.simulation.harness;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;
import reedmux.common.settings.ProcessSettingsException;

/** A proxy that is told to end finishes what it has, and serves what still comes. */
public class LoopbackShutdownTest {
    @Test
    public void pendingAndNewRequestsAreServedDuringShutdown() throws IOException, ProcessSettingsException {
        try (LoopbackGateway stage = new LoopbackGateway(79, 2, 3)) {
            assertEquals(
                    stage.changeConfiguration(LoopbackGateway.INITIAL_CONFIGURATION)
                            .status(),
                    200);
            assertTrue(stage.awaitReady(20_000));
            List<CompletableFuture<LoopbackGateway.LoopbackResponse>> underWay = new ArrayList<>();
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
            stage.shutdownProxy(0);
            assertEquals(stage.request(0, "POST", "/order/x", "after", "x").status(), 200);
            assertEquals(stage.readiness(0).status(), 503);
            assertEquals(stage.readiness(1).status(), 200);
            for (int i = 0; i < underWay.size(); i++) {
                assertEquals(underWay.get(i).join().status(), 200);
                assertEquals(Collections.frequency(stage.executedAttempts(), "slow-" + i), 1);
            }
        }
    }
}
