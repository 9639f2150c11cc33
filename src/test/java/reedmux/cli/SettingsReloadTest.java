package reedmux.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reedmux.common.settings.ProcessSettings;

/**
 * Guards each program against a settings file that it takes on SIGHUP although its next start could not use it. A
 * broken text or a wrong value is reported with file, line and key, and the program keeps what it had.
 */
public class SettingsReloadTest {
    /** A line that is added before the settings, or replaces that of its key, and the key that the error must name. */
    private static final String[][] WRONG_LINES = {
        {"zone = \"no end", "zone"},
        {"periodMs = \"soon\"", "periodMs"},
        {"periodMs = inf", "periodMs"},
        {"periodMs = 9223372036854775808", "periodMs"},
        {"seeds = [1]", "seeds"},
        {"sockets.control = \"here\"", "sockets"},
        {"envelope = { retryRatio = -1 }", "envelope"},
        {"tolerance = { machines = 0.5 }", "tolerance.machines"},
        {"saturation = { fdLimit = nan }", "saturation.fdLimit"},
        {"placement = { rack = 1, rack = 2 }", "rack"},
    };

    private static final String UNKNOWN = """
            placement = { row = 0x1F, rack = 'b', since = 2026-01-02T03:04:05.6Z, parts = [1, [true, { x = +inf }]] }
            most = 9223372036854775807
            "quoted \\u00e9" = ""\"two
            lines""\"
            [[racks]]
            name = '''it's'''
            [racks.inner]
            """;

    /** An address that no other test uses. */
    private static final String IP = "127.93.0.1";

    private static final String TAKEN = "settings read again";
    private static final int MAX_FIRST_PORT = 60_000;

    private Path directory;
    private Process process;

    @DataProvider
    public Object[][] programs() {
        return new Object[][] {{"store"}, {"registry"}, {"proxy"}};
    }

    @Test(dataProvider = "programs")
    public void wrongSettingsAreReportedAndChangeNothing(String program) throws Exception {
        directory = Files.createTempDirectory("reload");
        Path file = directory.resolve("settings.toml");
        String settings = settings();
        Files.writeString(file, settings + UNKNOWN);
        BufferedReader log = start(program, file);
        awaitLine(log, "listens");
        for (String[] wrong : WRONG_LINES) {
            String key = wrong[0].substring(0, wrong[0].indexOf(' '));
            replace(file, wrong[0] + '\n' + without(settings, key) + UNKNOWN);
            hangUp();
            String line = awaitLine(log, "settings: " + file + ":1: " + wrong[1]);
            assertTrue(line.endsWith("; the old settings stay"), line);
        }
        replace(file, settings + UNKNOWN);
        hangUp();
        awaitLine(log, TAKEN);
        assertTrue(process.isAlive());
    }

    /** The value of each key that a program reads is checked, so that check and SIGHUP refuse the same files. */
    @Test
    public void unknownSettingsOfAnyTypeAreValid() throws Exception {
        ProcessSettings settings = ProcessSettings.parse("file", settings() + UNKNOWN);
        settings.checkAllValues();
        assertEquals(settings.node(), "n");
    }

    @AfterMethod(alwaysRun = true)
    public void end() throws Exception {
        if (process != null) {
            process.destroyForcibly().waitFor();
            process = null;
        }
        if (directory != null) {
            try (Stream<Path> files = Files.walk(directory)) {
                for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(path);
                }
            }
        }
    }

    private BufferedReader start(String program, Path file) throws IOException {
        String testClassPath = System.getProperty("surefire.test.class.path");
        ProcessBuilder builder = new ProcessBuilder(
                "env",
                "--default-signal=HUP",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                testClassPath == null ? System.getProperty("java.class.path") : testClassPath,
                "reedmux.cli.Main",
                program);
        builder.environment().put(ProcessSettings.ENVIRONMENT_VARIABLE, file.toString());
        process = builder.redirectErrorStream(true).start();
        return process.inputReader(StandardCharsets.UTF_8);
    }

    private void hangUp() throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
    }

    /** Replaces the file at once, since the program also looks whether it has changed. */
    private static void replace(Path file, String text) throws IOException {
        Path next = file.resolveSibling("next.toml");
        Files.writeString(next, text);
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    private static String without(String settings, String key) {
        return settings.lines()
                .filter(line -> !line.startsWith(key + ' '))
                .map(line -> line + '\n')
                .collect(Collectors.joining());
    }

    private String settings() throws IOException {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(IP))) {
            port = Math.min(MAX_FIRST_PORT, free.getLocalPort());
        }
        return String.join(
                "\n",
                "node = \"n\"",
                "ip = \"" + IP + '"',
                "zone = \"z\"",
                "portRange = [" + port + ", " + (port + 10) + ']',
                "coldStart = true",
                "periodMs = 1000",
                "seeds = [\"" + IP + ':' + (port + 20) + "\"]",
                "dataDir = \"" + directory + "/data\"",
                "sockets.front = \"" + IP + ':' + (port + 21) + '"',
                "sockets.ready = \"" + IP + ':' + (port + 22) + '"',
                "sockets.control = \"" + IP + ':' + (port + 20) + '"',
                "tolerance = { machines = 0 }",
                "envelope = { retryRatio = 0.2, retrySlack = 50, graceS = 6 }",
                "saturation = { fdLimit = 1024 }",
                "");
    }

    private static String awaitLine(BufferedReader log, String text) throws IOException {
        List<String> seen = new ArrayList<>();
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            seen.add(line);
            if (line.contains(text)) {
                return line;
            }
            assertFalse(line.contains(TAKEN), "the program has taken wrong settings: " + seen);
        }
        throw new AssertionError("the program ended before it logged \"" + text + "\": " + seen);
    }
}
