package reedmux.gatekeeper.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;
import java.util.Map;
import org.junit.jupiter.api.Test;
import reedmux.common.time.MonotonicClock;

/** A configuration that was written in part, or more than once, is never taken for a whole one. */
final class GatekeeperConfigTest {

    private static byte[] sample() throws IOException {
        try (InputStream in = GatekeeperConfig.class.getResourceAsStream("/sample-config.json")) {
            return new String(in.readAllBytes()).strip().getBytes();
        }
    }

    private static GatekeeperConfig read(byte[] bytes) throws ConfigException {
        return GatekeeperConfig.read(bytes, Map.of(), new MonotonicClock());
    }

    @Test
    void truncatedDocumentIsRejectedWithAReason() throws Exception {
        byte[] whole = sample();
        assertEquals(2, read(whole).settings().groupSize());
        for (int length = 0; length < whole.length; length++) {
            byte[] part = Arrays.copyOf(whole, length);
            ConfigException e = assertThrows(ConfigException.class, () -> read(part), "cut at " + length);
            assertFalse(e.getMessage().isBlank());
        }
    }

    /** Without a bound every refusal said to come back at once. */
    @Test
    void retryAfterHasADefaultLimit() throws Exception {
        String text = new String(sample()).replace("\"maxRetryAfterUs\":1000000,", "");
        assertTrue(text.length() < sample().length);
        assertEquals(1_000_000, read(text.getBytes()).settings().limits().maxRetryAfter());
    }

    /** A further service's document was called RELAY_CONFIG, which names another file. */
    @Test
    void serviceDocumentErrorsDoNotNameTheMainFile() throws Exception {
        GatekeeperConfig config = read(sample());
        for (String bad : new String[] {"{", "{} {}", "{\"seed\":\"1\",\"seed\":\"1\"}"}) {
            ConfigException e = assertThrows(
                    ConfigException.class, () -> config.service(bad.getBytes(), null, new MonotonicClock()));
            assertTrue(e.getMessage().startsWith("the document "), e.getMessage());
        }
    }

    @Test
    void trailingDataIsRejected() throws Exception {
        byte[] whole = sample();
        for (int from = 0; from < whole.length; from += 7) {
            byte[] more = Arrays.copyOf(whole, 2 * whole.length - from);
            System.arraycopy(whole, from, more, whole.length, whole.length - from);
            assertThrows(ConfigException.class, () -> read(more), "tail from " + from);
        }
    }
}
