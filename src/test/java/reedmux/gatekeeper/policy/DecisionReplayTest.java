package reedmux.gatekeeper.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Verifies that the same seeds and events produce the same decisions, to the byte, as those recorded before the policy
 * was split into one class per concern: no sum is reordered, and no random number is drawn more or less. Each line of
 * the recording is one second of a scenario: its seed, the second, the number of actions and their digest. A change
 * that alters decisions records them again and says so.
 */
final class DecisionReplayTest {
    private static final Path RECORDING = Path.of("src/test/resources/decisions/policy.txt");
    private static final int SEEDS = 28;
    private static final int SECONDS = 20;

    @Test
    void decisionsAreThoseRecorded() throws IOException {
        List<String> recorded = Files.readAllLines(RECORDING);
        List<String> replayed = new ArrayList<>();
        for (long seed = 0; seed < SEEDS; seed++) {
            replayed.addAll(DecisionScenario.simulate(seed, SECONDS));
        }
        assertEquals(recorded.size(), replayed.size());
        for (int i = 0; i < replayed.size(); i++) {
            assertEquals(recorded.get(i), replayed.get(i));
        }
    }
}
