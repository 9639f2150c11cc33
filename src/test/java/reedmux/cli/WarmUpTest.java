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

/** What the warm-up does while nobody can connect yet. */
final class WarmUpTest {

    /**
     * After a mass restart discovery told nothing for 2 s, and the warm-up of 1.6 s came after that: restarts
     * took 4.1 s. All decisions are practised before our own address is waited for.
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
                        throw new InterruptedException("all that needs no socket is done");
                    }
                    return null;
                }));
        assertEquals(13, waits.size(), "twelve turns of decisions, then a wait: " + waits);
        assertEquals(0, waits.get(11));
    }
}
