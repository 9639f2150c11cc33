package reedmux.gatekeeper.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * The same seeds and events give the same decisions, to the byte, as those recorded before the policy was split into
 * one class a concern: no reordered sum, no draw more or less. A line of the recording is a second of a scenario: its
 * seed, the second, the number of actions and their digest. A change of what is decided records it anew, and says so.
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
            replayed.addAll(DecisionScenario.play(seed, SECONDS));
        }
        assertEquals(recorded.size(), replayed.size());
        for (int i = 0; i < replayed.size(); i++) {
            assertEquals(recorded.get(i), replayed.get(i));
        }
    }
}
