package reedmux.simulation.region;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Jitter of the machine is not taken for slowness of providers that answer within a millisecond. */
final class ConcurrencyLimitScenariosTest {
    @ParameterizedTest
    @CsvSource({"1,200,0.2", "1,1000,0.2", "2,200,0.2", "1,200,0.005", "2,50000,0.2"})
    void aPoolWithRoomRefusesNobody(int providers, long work, double pauses) {
        double share = LongStream.rangeClosed(1, 4)
                .mapToDouble(seed -> ConcurrencyLimitScenarios.rejectedShare(seed, providers, work, pauses))
                .average()
                .orElse(1);
        assertTrue(share < 0.01, () -> "refused " + share);
    }
}
