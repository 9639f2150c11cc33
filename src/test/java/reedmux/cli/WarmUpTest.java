package reedmux.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import reedmux.common.time.MonotonicClock;
import reedmux.gatekeeper.config.GatekeeperConfig;

/** Tests the warm-up while the process does not listen yet. */
final class WarmUpTest {

    /**
     * Guards against a warm-up that starts only after discovery's first list. After a mass restart discovery did not
     * respond for 2 s, the warm-up of 1.6 s followed, and restarts took 4.1 s. All decisions must run before the
     * warm-up waits for the process's own address.
     */
    @Test
    void decisionsRunBeforeDiscoveryResponds() throws Exception {
        MonotonicClock clock = new MonotonicClock();
        byte[] sample;
        try (InputStream in = WarmUpTest.class.getResourceAsStream("/sample-config.json")) {
            sample = in.readAllBytes();
        }
        List<Long> waits = new ArrayList<>();
        WarmUp warmUp = new WarmUp(GatekeeperConfig.read(sample, Map.of(), clock), clock, line -> {}, () -> false);
        assertThrows(
                InterruptedException.class,
                () -> warmUp.run(null, millis -> {
                    waits.add(millis);
                    if (millis > 0) {
                        throw new InterruptedException("all rounds without sockets are complete");
                    }
                    return null;
                }));
        assertEquals(13, waits.size(), "expected twelve batches of decisions, then a wait for the address: " + waits);
        assertEquals(0, waits.get(11));
    }
}
