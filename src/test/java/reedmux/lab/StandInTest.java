package reedmux.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reedmux.lab.ConsumerStandIn.Asked;
import reedmux.lab.ConsumerStandIn.Told;
import reedmux.lab.ProviderStandIn.Does;

/** The stand-ins do what they are told, or nothing that is measured with them would mean anything. */
final class StandInTest {

    private static Told ask(InetSocketAddress address, String id) throws InterruptedException {
        try (ConsumerStandIn consumer = new ConsumerStandIn(address)) {
            consumer.ask(new Asked(id, "reject", false, 1, 1, 1_000, 1));
            assertTrue(consumer.finish());
            assertEquals(1, consumer.told().size());
            return consumer.told().get(0);
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
    void aProviderDoesAsItIsTold(Does does, int status, int runs) throws Exception {
        try (ProviderStandIn provider = new ProviderStandIn(1, 1, 1)) {
            provider.script(id -> does);
            Told told = ask(provider.address(), "00000000000000aa");
            assertEquals(status, told.status());
            assertEquals(status == 200, told.whole());
            assertEquals(
                    runs,
                    provider.runs().values().stream().mapToInt(Number::intValue).sum());
        }
    }

    @ParameterizedTest
    @CsvSource({"PASSES,1,true", "BREAKS_BEFORE,0,false", "BREAKS_ANSWERING,1,false"})
    void aLineDoesAsItIsTold(LinkStandIn.Does does, int runs, boolean answered) throws Exception {
        try (ProviderStandIn provider = new ProviderStandIn(1, 1, 1);
                LinkStandIn line = new LinkStandIn(provider.address())) {
            line.script(() -> does);
            Told told = ask(line.address(), "00000000000000ab");
            assertEquals(answered, told.status() == 200);
            assertEquals(runs, provider.runs().size());
            assertEquals(1, line.crossings().size());
        }
    }

    @ParameterizedTest
    @CsvSource({"true", "false"})
    void whatHasVanishedRefusesAndComesBackAtItsAddress(boolean back) throws Exception {
        try (ProviderStandIn provider = new ProviderStandIn(1, 1, 1)) {
            provider.vanish();
            if (back) {
                provider.comeBack();
            }
            assertEquals(
                    back ? 200 : 0, ask(provider.address(), "00000000000000ac").status());
        }
    }
}
