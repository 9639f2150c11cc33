package reedmux.simulation.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Runs short soaks with real processes and signals, and regression tests for faults found by longer soaks. */
public class SoakTest {
    private static final long[] SEEDS = {1, 2, 3, 4};
    private static final int SECONDS = 15;
    private static final int FIRST_NETWORK = 130;
    private static final long[] STRESS_SEEDS = {21, 22};
    private static final int STRESS_SECONDS = 25;
    private static final int FIRST_STRESS_NETWORK = 140;

    private Path directory;

    @BeforeMethod
    public void createDirectory() throws IOException {
        directory = Files.createTempDirectory("reedmux-soak-test");
    }

    @AfterMethod(alwaysRun = true)
    public void deleteDirectory() throws IOException {
        try (Stream<Path> files = Files.walk(directory)) {
            files.sorted(Comparator.reverseOrder())
                    .forEach(path -> path.toFile().delete());
        }
    }

    /** Runs the seeds in concurrent pairs. */
    @Test
    public void noInvariantIsViolatedUnderOverlappingFaults()
            throws IOException, ExecutionException, InterruptedException {
        for (int first = 0; first < SEEDS.length; first += 2) {
            CompletableFuture<SoakOutcome> firstRun = start(first);
            CompletableFuture<SoakOutcome> secondRun = start(first + 1);
            assertNoViolations(firstRun.get());
            assertNoViolations(secondRun.get());
        }
    }

    /** Pauses each proxy for a part of every 100 ms, as machines with a CPU quota do. */
    @Test
    public void tenantsStayWithinTheirQuotasWhenProxiesAreThrottled() throws IOException {
        SoakOptions options = new SoakOptions(11, SECONDS, 24, 3, 24, 4, 0, 16, 150, 60, SoakStress.NONE);
        SoakOutcome outcome = run(options, directory, FIRST_NETWORK + SEEDS.length + 1);
        assertEquals(outcome.violations(), List.of(), String.join("\n", outcome.faults()));
        assertTrue(outcome.served() > 500, outcome.served() + " of " + outcome.requests() + " served");
    }

    /**
     * Guards against proxies that run out of memory by long timeouts, large bodies and answers that do not end, and
     * against acknowledgements that are forgotten when all processes are killed.
     */
    @Test
    public void noInvariantIsViolatedUnderStress() throws IOException, ExecutionException, InterruptedException {
        SoakStress stress = new SoakStress(12, 4, 0.02, true, true);
        List<CompletableFuture<SoakOutcome>> runs = new ArrayList<>();
        for (int i = 0; i < STRESS_SEEDS.length; i++) {
            long seed = STRESS_SEEDS[i];
            SoakOptions options = new SoakOptions(seed, STRESS_SECONDS, 3, 3, 6, 8, 4, 6, 60, 0, stress);
            Path runDirectory = Files.createDirectory(directory.resolve("stress-" + seed));
            int network = FIRST_STRESS_NETWORK + i;
            runs.add(CompletableFuture.supplyAsync(() -> run(options, runDirectory, network)));
        }
        for (CompletableFuture<SoakOutcome> stressRun : runs) {
            SoakOutcome outcome = stressRun.get();
            assertEquals(
                    outcome.violations(),
                    List.of(),
                    "seed " + outcome.seed() + ": " + outcome.violations() + "\n"
                            + String.join("\n", outcome.faults()));
            assertTrue(outcome.served() > 100, outcome.served() + " of " + outcome.requests() + " served");
            assertTrue(outcome.comparedBodies() > 20, outcome.comparedBodies() + " large bodies compared");
        }
    }

    private CompletableFuture<SoakOutcome> start(int index) throws IOException {
        SoakOptions options = new SoakOptions(SEEDS[index], SECONDS, 4, 3, 5, 10, 6, 6, 60, 60, SoakStress.NONE);
        Path runDirectory = Files.createDirectory(directory.resolve("seed-" + SEEDS[index]));
        return CompletableFuture.supplyAsync(() -> run(options, runDirectory, FIRST_NETWORK + index));
    }

    private static void assertNoViolations(SoakOutcome outcome) {
        assertEquals(
                outcome.violations(),
                List.of(),
                "seed " + outcome.seed() + ": " + outcome.violations() + "\n" + String.join("\n", outcome.faults())
                        + "\n");
        assertTrue(outcome.served() > 100, outcome.served() + " of " + outcome.requests() + " served");
        assertTrue(outcome.endedByDeparture() > 10, outcome.endedByDeparture() + " executions ended by departures");
    }

    private static SoakOutcome run(SoakOptions options, Path directory, int network) {
        try {
            return SoakRun.run(options, directory, network);
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A program handles signals before it listens: SIGHUP does not end it, and SIGTERM shuts it down gracefully. */
    @Test
    public void signalsDuringTheStartOfAProgramAreHandled()
            throws IOException, InterruptedException, ExecutionException, TimeoutException {
        Path settings = writeStoreSettings();
        Path output = directory.resolve("store.log");
        ProgramProcess store = new ProgramProcess("store", settings, output);
        CompletableFuture<Integer> exit = new CompletableFuture<>();
        store.onExit(exit::complete);
        try {
            await(store::handlesSignals, () -> Files.readString(output));
            store.signal("HUP");
            await(
                    () -> Files.readString(output).contains("settings read again"),
                    () -> "exit " + exit + ", " + Files.readString(output));
            assertTrue(store.isAlive());
            store.signal("TERM");
            assertEquals(exit.get(20, TimeUnit.SECONDS).intValue(), 0);
        } finally {
            store.killAndWait();
        }
    }

    /**
     * A program inherits an ignored SIGHUP from its parent, for example nohup. It used not to log this, so that in a
     * test run under nohup it seemed to lose the signal: SIGHUP was sent, but the settings were not reloaded. The
     * program must log that SIGHUP is ignored, and must still reload a changed settings file.
     */
    @Test
    public void programWithIgnoredHangUpLogsItAndReloadsChangedSettings() throws IOException, InterruptedException {
        Path settings = writeStoreSettings();
        Path output = directory.resolve("store.log");
        ProgramProcess store = new ProgramProcess("store", settings, output, ProgramProcess.HANG_UP_IGNORED);
        try {
            await(store::handlesSignals, () -> Files.readString(output));
            assertTrue(Files.readString(output).contains("SIGHUP is ignored"), Files.readString(output));
            store.signal("HUP");
            await(() -> Files.readString(output).contains("listens"), () -> Files.readString(output));
            Path changed =
                    Files.writeString(directory.resolve("store.new"), "# changed\n" + Files.readString(settings));
            Files.move(changed, settings, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            await(() -> Files.readString(output).contains("settings read again"), () -> Files.readString(output));
        } finally {
            store.killAndWait();
        }
    }

    private Path writeStoreSettings() throws IOException {
        String ip = "127." + (FIRST_NETWORK + SEEDS.length) + ".0.1";
        int port;
        try (ServerSocket probe = new ServerSocket()) {
            probe.bind(new InetSocketAddress(ip, 0));
            port = Math.min(60_000, probe.getLocalPort());
        }
        Path settings = directory.resolve("store.toml");
        Files.writeString(
                settings,
                "node = \"core-0\"\nip = \"" + ip + "\"\nzone = \"a\"\nportRange = [" + port + ", " + (port + 10)
                        + "]\ncoldStart = true\nseeds = [\"" + ip + ":" + (port + 20) + "\"]\ndataDir = \""
                        + directory.resolve("disk") + "\"\n[sockets]\ncontrol = \"" + ip + ":" + (port + 20) + "\"\n");
        return settings;
    }

    private interface Condition {
        boolean holds() throws IOException;
    }

    private interface Detail {
        String describe() throws IOException;
    }

    /** Polls the condition for at most 20 seconds; {@code detail} describes the state in the failure message. */
    private static void await(Condition condition, Detail detail) throws IOException, InterruptedException {
        CompletableFuture<Void> never = new CompletableFuture<>();
        for (int i = 0; i < 1_000; i++) {
            if (condition.holds()) {
                return;
            }
            try {
                never.get(20, TimeUnit.MILLISECONDS);
            } catch (TimeoutException | ExecutionException e) {
                continue;
            }
        }
        throw new AssertionError("condition not met within 20 s: " + detail.describe());
    }
}
