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

/** A truncated configuration, or one with trailing data, is rejected. */
final class GatekeeperConfigTest {

    private static byte[] sampleConfig() throws IOException {
        try (InputStream in = GatekeeperConfig.class.getResourceAsStream("/sample-config.json")) {
            return new String(in.readAllBytes()).strip().getBytes();
        }
    }

    private static GatekeeperConfig read(byte[] bytes) throws ConfigException {
        return GatekeeperConfig.read(bytes, Map.of(), new MonotonicClock());
    }

    @Test
    void truncatedDocumentIsRejectedWithAReason() throws Exception {
        byte[] complete = sampleConfig();
        assertEquals(2, read(complete).settings().groupSize());
        for (int length = 0; length < complete.length; length++) {
            byte[] truncated = Arrays.copyOf(complete, length);
            ConfigException e = assertThrows(ConfigException.class, () -> read(truncated), "cut at " + length);
            assertFalse(e.getMessage().isBlank());
        }
    }

    /** Without a limit, every rejection told the client to retry immediately. */
    @Test
    void retryAfterHasADefaultLimit() throws Exception {
        String text = new String(sampleConfig()).replace("\"maxRetryAfterUs\":1000000,", "");
        assertTrue(text.length() < sampleConfig().length);
        assertEquals(1_000_000, read(text.getBytes()).settings().limits().maxRetryAfter());
    }

    /** Errors in the document of an additional service used to name RELAY_CONFIG, which is another file. */
    @Test
    void serviceDocumentErrorsDoNotNameTheMainFile() throws Exception {
        GatekeeperConfig config = read(sampleConfig());
        for (String invalid : new String[] {"{", "{} {}", "{\"seed\":\"1\",\"seed\":\"1\"}"}) {
            ConfigException e = assertThrows(
                    ConfigException.class, () -> config.service(invalid.getBytes(), null, new MonotonicClock()));
            assertTrue(e.getMessage().startsWith("the document "), e.getMessage());
        }
    }

    @Test
    void trailingDataIsRejected() throws Exception {
        byte[] complete = sampleConfig();
        for (int from = 0; from < complete.length; from += 7) {
            byte[] extended = Arrays.copyOf(complete, 2 * complete.length - from);
            System.arraycopy(complete, from, extended, complete.length, complete.length - from);
            assertThrows(ConfigException.class, () -> read(extended), "tail from " + from);
        }
    }

    /** Guards against a gatekeeper that does not start when its platform adds a field (as in review/7). */
    @Test
    void unknownFieldOfAnyShapeIsIgnored() throws Exception {
        String text = new String(sampleConfig());
        for (String value : new String[] {
            "null",
            "true",
            "-0.0",
            "1e999999999",
            "9223372036854775807",
            "123456789012345678901234567890",
            "\"\\u00e9\\ud83d\\ude00\\n\\/\"",
            "{\"row\":3,\"deep\":[{\"x\":[]}]}",
            "[".repeat(900) + "]".repeat(900)
        }) {
            for (String place : new String[] {"{", "\"settings\":{", "\"limits\":{"}) {
                String changed = text.replaceFirst(
                        java.util.regex.Pattern.quote(place),
                        java.util.regex.Matcher.quoteReplacement(place + "\"brandNew\":" + value + ","));
                assertTrue(changed.length() > text.length(), place);
                assertEquals(
                        read(sampleConfig()).settings().groupSize(),
                        read(changed.getBytes()).settings().groupSize());
            }
        }
    }

    /** An error about a value names its line and key. */
    @Test
    void wrongValueIsReportedWithLineAndKey() throws Exception {
        String text = new String(sampleConfig());
        String changed = "{\n\n\"listen\":[3]," + text.substring(1).replaceFirst("\"listen\":\"[^\"]*\",", "");
        ConfigException e = assertThrows(ConfigException.class, () -> read(changed.getBytes()));
        assertTrue(e.getMessage().contains("listen is not a text at line 3"), e.getMessage());
    }
}
