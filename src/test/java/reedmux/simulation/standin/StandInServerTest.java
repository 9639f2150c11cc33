package reedmux.simulation.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reedmux.simulation.standin.ConsumerStandIn.RequestOutcome;
import reedmux.simulation.standin.ConsumerStandIn.ScenarioRequest;
import reedmux.simulation.standin.ProviderStandIn.ProviderStandInBehavior;

/**
 * Tests that the stand-ins follow their scripts. A stand-in that deviates from its script would invalidate the results
 * of every scenario that uses it.
 */
final class StandInServerTest {

    private static RequestOutcome send(InetSocketAddress address, String id) throws InterruptedException {
        try (ConsumerStandIn consumer = new ConsumerStandIn(address)) {
            consumer.send(new ScenarioRequest(id, "reject", false, 1, 1, 1_000, 1));
            assertTrue(consumer.awaitOutcomes());
            assertEquals(1, consumer.outcomes().size());
            return consumer.outcomes().get(0);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "ANSWERS,200,1",
        "FULL,503,0",
        "ERRS,500,1",
        "SLOW,200,1",
        "RESETS_BEFORE,-1,0",
        "RESETS_AFTER,-1,1",
        "HALF_ANSWERS,-1,1"
    })
    void providerFollowsItsScript(ProviderStandInBehavior behavior, int status, int runs) throws Exception {
        try (ProviderStandIn provider = new ProviderStandIn(1, 1, 1)) {
            provider.setScript(id -> behavior);
            RequestOutcome outcome = send(provider.address(), "00000000000000aa");
            assertEquals(status, outcome.status());
            assertEquals(status == 200, outcome.bodyMatches());
            assertEquals(
                    runs,
                    provider.runs().values().stream().mapToInt(Number::intValue).sum());
        }
    }

    @ParameterizedTest
    @CsvSource({"PASSES,1,true", "BREAKS_BEFORE,0,false", "BREAKS_ANSWERING,1,false"})
    void regionLinkFollowsItsScript(RegionLinkStandIn.RegionLinkStandInBehavior behavior, int runs, boolean answered)
            throws Exception {
        try (ProviderStandIn provider = new ProviderStandIn(1, 1, 1);
                RegionLinkStandIn link = new RegionLinkStandIn(provider.address())) {
            link.setScript(() -> behavior);
            RequestOutcome outcome = send(link.address(), "00000000000000ab");
            assertEquals(answered, outcome.status() == 200);
            assertEquals(runs, provider.runs().size());
            assertEquals(1, link.crossings().size());
        }
    }

    @ParameterizedTest
    @CsvSource({"true", "false"})
    void stoppedServerRefusesConnectionsUntilRestartedAtSameAddress(boolean restart) throws Exception {
        try (ProviderStandIn provider = new ProviderStandIn(1, 1, 1)) {
            provider.goDown();
            if (restart) {
                provider.comeUp();
            }
            assertEquals(
                    restart ? 200 : 0,
                    send(provider.address(), "00000000000000ac").status());
        }
    }
}
