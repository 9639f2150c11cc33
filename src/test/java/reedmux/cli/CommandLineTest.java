package reedmux.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the output and the exit codes of the command line. */
final class CommandLineTest {
    @TempDir
    private Path folder;

    private String runExpectingExitCode(int code, String... arguments) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "reedmux.cli.Main"));
        command.addAll(List.of(arguments));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().remove("RELAY_CONFIG");
        Process process = builder.start();
        String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(code, process.waitFor(), out);
        return out;
    }

    @Test
    void everyCommandPrintsItsHelp() throws Exception {
        assertTrue(runExpectingExitCode(0, "--help").contains("self-check"));
        assertTrue(runExpectingExitCode(0, "serve", "--help").contains("--settings FILE"));
        assertTrue(runExpectingExitCode(0, "check-config", "-h").contains("--settings FILE"));
        assertTrue(runExpectingExitCode(0, "lab", "--help").contains("--seeds A..B"));
        for (String command : List.of("wirehost", "self-check", "version")) {
            assertTrue(runExpectingExitCode(0, command, "--help").startsWith("usage: reedmux " + command), command);
        }
        assertTrue(runExpectingExitCode(0, "lab", "list").contains("region-storms"));
    }

    @Test
    void badUsageListsTheKnownCommands() throws Exception {
        assertTrue(runExpectingExitCode(2, "serv").contains("known commands: serve, wirehost"));
        assertTrue(runExpectingExitCode(2, "serve", "--setting").contains("try: reedmux serve --help"));
        assertTrue(runExpectingExitCode(2).startsWith("usage: reedmux COMMAND"));
        assertTrue(runExpectingExitCode(2, "lab", "run", "regions").contains("no scene 'regions'; there are region, "));
        assertTrue(runExpectingExitCode(2, "lab", "run", "region", "--seeds", "3..1")
                .contains("ends before it begins"));
    }

    @Test
    void invalidSettingsFileExitsWithCode3() throws Exception {
        Path bad = folder.resolve("bad.star");
        Files.writeString(bad, "region(name = \"east\",\n       listn = \"127.0.0.1:1\")\n");
        assertEquals(
                "reedmux: configuration: " + bad + ":2:8: region has no key 'listn', did you mean " + "'listen'?\n",
                runExpectingExitCode(3, "check-config", "--settings", bad.toString()));
        assertTrue(runExpectingExitCode(
                        3,
                        "check-config",
                        "--settings",
                        folder.resolve("none.star").toString())
                .contains("the file cannot be read"));
        assertTrue(runExpectingExitCode(0, "check-config", "--settings", "deploy/east.star")
                .contains("last resort west"));
    }

    @Test
    void serveRejectsSettingsThatDoNotFitTheConfiguration() throws Exception {
        Path script = folder.resolve("small.star");
        Files.writeString(
                script,
                "region(name = \"east\")\nlast_resort(region = \"west\", gateways ="
                        + " [\"127.0.0.1:1\"], budget = budget(share = 1, rate = 2, burst = 4))\n");
        Path config = folder.resolve("config.json");
        Files.copy(Path.of("src/main/resources/sample-config.json"), config);
        ProcessBuilder builder = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "reedmux.cli.Main",
                        "serve",
                        "--settings",
                        script.toString())
                .redirectErrorStream(true);
        builder.environment().put("RELAY_CONFIG", config.toString());
        Process process = builder.start();
        String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(3, process.waitFor(), out);
        assertTrue(out.contains("budget.burst of 4.0 is"), out);
    }
}
