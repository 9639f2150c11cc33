package reedmux.ci;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how {@code .ci/run} treats test failures, using reports in Surefire's format. */
public class KnownRedTest {
    private static final String LISTED = "a.BTest.cut, mvn -B verify with seed 4, a store forgets its vote, #37";
    private Path directory;

    @BeforeMethod
    public void begin() throws IOException {
        directory = Files.createTempDirectory("known-red");
    }

    @AfterMethod
    public void end() throws IOException {
        try (Stream<Path> all = Files.walk(directory)) {
            all.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        }
    }

    private static String report(String... cases) {
        StringBuilder text = new StringBuilder("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<testsuite>\n");
        for (String testCase : cases) {
            String[] parts = testCase.split(" ");
            text.append("<testcase classname=\"a.BTest\" name=\"")
                    .append(parts[0])
                    .append("\">")
                    .append(parts.length > 1 ? '<' + parts[1] + " message=\"no\"/>" : "")
                    .append("</testcase>\n");
        }
        return text.append("</testsuite>\n").toString();
    }

    private KnownRed decide(String list, String log, String... cases) throws IOException {
        Files.writeString(directory.resolve("KNOWN-RED.txt"), list);
        Files.writeString(directory.resolve("log"), log);
        Files.writeString(directory.resolve("TEST-a.BTest.xml"), report(cases));
        return KnownRed.decide(directory.resolve("KNOWN-RED.txt"), directory, directory.resolve("log"));
    }

    private static String summary(int failures, int errors) {
        return "[INFO] Tests run: 1, Failures: 9, Errors: 9, Skipped: 0, Time elapsed: 0.1 s -- in a.BTest\n"
                + "[ERROR] Tests run: 9, Failures: " + failures + ", Errors: " + errors + ", Skipped: 0\n";
    }

    @Test
    public void onlyListedTestsMayFail() throws IOException {
        KnownRed outcome = decide(LISTED + '\n', summary(1, 0), "cut failure", "other");
        assertTrue(outcome.passed(), outcome.messages().toString());
        assertEquals(outcome.messages(), List.of("KNOWN-RED: let pass: " + LISTED));
        KnownRed unlisted = decide(LISTED, summary(1, 1), "cut failure", "other error");
        assertFalse(unlisted.passed());
        assertTrue(unlisted.messages().contains("KNOWN-RED: failed, and not listed: a.BTest.other"));
        assertFalse(decide(LISTED, summary(1, 1), "cut failure", "cutOff error").passed());
    }

    @Test
    public void everyInvocationOfAListedParameterizedTestMayFail() throws IOException {
        assertTrue(decide(LISTED, summary(1, 1), "cut(int)[0] failure", "cut(int)[1]", "cut(int)[2] error")
                .passed());
    }

    @Test
    public void listedTestThatPassesIsReported() throws IOException {
        KnownRed passed = decide(LISTED, summary(0, 0), "cut", "other");
        assertTrue(passed.passed());
        assertEquals(passed.messages(), List.of("KNOWN-RED: passed, take it off the list: " + LISTED));
    }

    private static String entry(String method) {
        return "a.BTest." + method + ", seed 1, seen, #1";
    }

    @DataProvider
    public Object[][] malformedListsAndIncompleteRuns() {
        return new Object[][] {
            {
                String.join("\n", LISTED, entry("two"), entry("three"), entry("four")),
                summary(0, 0),
                "lists 4 tests, 3 at most"
            },
            {LISTED + "\na.BTest.other no cause", summary(0, 0), "KNOWN-RED.txt:2: not 'package.Class.method, "},
            {LISTED + "\na.BTest.other, cause only, #2", summary(0, 0), "command and seed, what was seen, #issue'"},
            {LISTED + '\n' + LISTED, summary(0, 0), "listed twice: a.BTest.cut"},
            {entry("gone"), summary(0, 0), "listed, but did not run: a.BTest.gone"},
            {LISTED, summary(1, 0), "the closing line counts 1 failures and errors, the reports have 0"},
            {LISTED, "", "the log has no closing line"},
            {
                LISTED,
                summary(0, 0) + "[ERROR] The forked VM terminated without properly saying goodbye.\n",
                "the tests did not all run"
            },
        };
    }

    @Test(dataProvider = "malformedListsAndIncompleteRuns")
    public void malformedListOrIncompleteRunFails(String list, String log, String line) throws IOException {
        KnownRed outcome = decide(list, log, "cut", "other", "two", "three", "four");
        assertFalse(outcome.passed());
        assertTrue(
                outcome.messages().stream().anyMatch(message -> message.contains(line)),
                outcome.messages().toString());
    }

    /** Runs {@code .ci/run} with a fake {@code mvn} on the path; returns its exit code and its output. */
    private String run(String list, int code, String... cases) throws IOException, InterruptedException {
        Path source = Path.of("src/test/java/reedmux/ci/KnownRed.java");
        Files.createDirectories(directory.resolve(".ci"));
        Files.createDirectories(directory.resolve(source).getParent());
        Files.copy(Path.of(".ci/run"), directory.resolve(".ci/run"));
        Files.copy(source, directory.resolve(source));
        if (list != null) {
            Files.writeString(directory.resolve("KNOWN-RED.txt"), list);
        }
        Files.writeString(directory.resolve("report"), report(cases));
        Files.writeString(
                directory.resolve("mvn"),
                "#!/bin/sh\necho \"mvn $*\"\nmkdir -p target/surefire-reports\n"
                        + "cp report target/surefire-reports/TEST-a.BTest.xml\n"
                        + "echo 'Tests run: 2, Failures: 1, Errors: 0, Skipped: 0'\nexit " + code + '\n');
        directory.resolve("mvn").toFile().setExecutable(true);
        ProcessBuilder builder =
                new ProcessBuilder("bash", directory.resolve(".ci/run").toString()).redirectErrorStream(true);
        builder.environment()
                .put(
                        "PATH",
                        directory + ":" + Path.of(System.getProperty("java.home"), "bin") + ":"
                                + System.getenv("PATH"));
        Process process = builder.start();
        String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return process.waitFor() + "\n" + out;
    }

    @Test
    public void withoutAListMavensExitCodeIsReturned() throws Exception {
        assertEquals(
                run(null, 1, "cut failure"), "1\nmvn -B verify\nTests run: 2, Failures: 1, Errors: 0, Skipped: 0\n");
    }

    @Test
    public void listedFailureIsPrintedAndIgnored() throws Exception {
        assertEquals(
                run(LISTED, 0, "cut failure", "other"),
                "0\nmvn -B verify -Dmaven.test.failure.ignore=true\n"
                        + "Tests run: 2, Failures: 1, Errors: 0, Skipped: 0\nKNOWN-RED: let pass: " + LISTED + '\n');
    }

    @Test
    public void buildErrorFailsDespiteAList() throws Exception {
        assertTrue(run(LISTED, 1, "cut failure").startsWith("1\n"));
    }

    @Test
    public void unlistedFailureFailsDespiteAList() throws Exception {
        String out = run(LISTED, 0, "cut", "other failure");
        assertTrue(out.startsWith("1\n") && out.contains("failed, and not listed: a.BTest.other"), out);
    }
}
