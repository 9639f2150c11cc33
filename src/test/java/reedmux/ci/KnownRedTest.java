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

/** What {@code .ci/run} makes of failures, on reports as Surefire writes them. */
public class KnownRedTest {
    private static final String FIRST = "a.BTest.cut, a store forgets its vote, #37";
    private Path dir;

    @BeforeMethod
    public void begin() throws IOException {
        dir = Files.createTempDirectory("known-red");
    }

    @AfterMethod
    public void end() throws IOException {
        try (Stream<Path> all = Files.walk(dir)) {
            all.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        }
    }

    private static String report(String... cases) {
        StringBuilder text = new StringBuilder("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<testsuite>\n");
        for (String one : cases) {
            String[] parts = one.split(" ");
            text.append("<testcase classname=\"a.BTest\" name=\"")
                    .append(parts[0])
                    .append("\">")
                    .append(parts.length > 1 ? '<' + parts[1] + " message=\"no\"/>" : "")
                    .append("</testcase>\n");
        }
        return text.append("</testsuite>\n").toString();
    }

    private KnownRed decide(String list, String log, String... cases) throws IOException {
        Files.writeString(dir.resolve("KNOWN-RED.txt"), list);
        Files.writeString(dir.resolve("log"), log);
        Files.writeString(dir.resolve("TEST-a.BTest.xml"), report(cases));
        return KnownRed.decide(dir.resolve("KNOWN-RED.txt"), dir, dir.resolve("log"));
    }

    private static String closing(int failures, int errors) {
        return "[INFO] Tests run: 1, Failures: 9, Errors: 9, Skipped: 0, Time elapsed: 0.1 s -- in a.BTest\n"
                + "[ERROR] Tests run: 9, Failures: " + failures + ", Errors: " + errors + ", Skipped: 0\n";
    }

    @Test
    public void onlyWhatIsListedIsLetPass() throws IOException {
        KnownRed listed = decide(FIRST + '\n', closing(1, 0), "cut failure", "other");
        assertTrue(listed.good(), listed.told().toString());
        assertEquals(listed.told(), List.of("KNOWN-RED: let pass: " + FIRST));
        KnownRed other = decide(FIRST, closing(1, 1), "cut failure", "other error");
        assertFalse(other.good());
        assertTrue(other.told().contains("KNOWN-RED: failed, and not listed: a.BTest.other"));
        assertFalse(decide(FIRST, closing(1, 1), "cut failure", "cutOff error").good());
    }

    @Test
    public void eachCaseOfAListedTestBelongsToIt() throws IOException {
        assertTrue(decide(FIRST, closing(1, 1), "cut(int)[0] failure", "cut(int)[1]", "cut(int)[2] error")
                .good());
    }

    @Test
    public void aListedTestThatPassesIsTold() throws IOException {
        KnownRed passed = decide(FIRST, closing(0, 0), "cut", "other");
        assertTrue(passed.good());
        assertEquals(passed.told(), List.of("KNOWN-RED: passed, take it off the list: " + FIRST));
    }

    @DataProvider
    public Object[][] broken() {
        return new Object[][] {
            {
                FIRST + "\na.BTest.two, why, #1\na.BTest.three, why, #1\na.BTest.four, why, #1",
                closing(0, 0),
                "lists 4 tests, 3 at most"
            },
            {FIRST + "\na.BTest.other no cause", closing(0, 0), "KNOWN-RED.txt:2: not 'package.Class.method, "},
            {FIRST + '\n' + FIRST, closing(0, 0), "listed twice: a.BTest.cut"},
            {"a.BTest.gone, why, #1", closing(0, 0), "listed, but did not run: a.BTest.gone"},
            {FIRST, closing(1, 0), "the closing line counts 1 failures and errors, the reports have 0"},
            {FIRST, "", "the log has no closing line"},
            {
                FIRST,
                closing(0, 0) + "[ERROR] The forked VM terminated without properly saying goodbye.\n",
                "the tests did not all run"
            },
        };
    }

    @Test(dataProvider = "broken")
    public void whatCannotBeTrustedFails(String list, String log, String line) throws IOException {
        KnownRed outcome = decide(list, log, "cut", "other", "two", "three", "four");
        assertFalse(outcome.good());
        assertTrue(
                outcome.told().stream().anyMatch(told -> told.contains(line)),
                outcome.told().toString());
    }

    /** Runs {@code .ci/run} itself before a stand-in for Maven; returns its code and what it printed. */
    private String run(String list, int code, String... cases) throws IOException, InterruptedException {
        Path decide = Path.of("src/test/java/reedmux/ci/KnownRed.java");
        Files.createDirectories(dir.resolve(".ci"));
        Files.createDirectories(dir.resolve(decide).getParent());
        Files.copy(Path.of(".ci/run"), dir.resolve(".ci/run"));
        Files.copy(decide, dir.resolve(decide));
        if (list != null) {
            Files.writeString(dir.resolve("KNOWN-RED.txt"), list);
        }
        Files.writeString(dir.resolve("report"), report(cases));
        Files.writeString(
                dir.resolve("mvn"),
                "#!/bin/sh\necho \"mvn $*\"\nmkdir -p target/surefire-reports\n"
                        + "cp report target/surefire-reports/TEST-a.BTest.xml\n"
                        + "echo 'Tests run: 2, Failures: 1, Errors: 0, Skipped: 0'\nexit " + code + '\n');
        dir.resolve("mvn").toFile().setExecutable(true);
        ProcessBuilder builder =
                new ProcessBuilder("bash", dir.resolve(".ci/run").toString()).redirectErrorStream(true);
        builder.environment()
                .put("PATH", dir + ":" + Path.of(System.getProperty("java.home"), "bin") + ":" + System.getenv("PATH"));
        Process process = builder.start();
        String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return process.waitFor() + "\n" + out;
    }

    @Test
    public void withoutAListMavenDecides() throws Exception {
        assertEquals(
                run(null, 1, "cut failure"), "1\nmvn -B verify\nTests run: 2, Failures: 1, Errors: 0, Skipped: 0\n");
    }

    @Test
    public void withAListAListedFailureIsPrintedAndPassed() throws Exception {
        assertEquals(
                run(FIRST, 0, "cut failure", "other"),
                "0\nmvn -B verify -Dmaven.test.failure.ignore=true\n"
                        + "Tests run: 2, Failures: 1, Errors: 0, Skipped: 0\nKNOWN-RED: let pass: " + FIRST + '\n');
    }

    @Test
    public void withAListWhatIsNotATestsFailureStillFails() throws Exception {
        assertTrue(run(FIRST, 1, "cut failure").startsWith("1\n"));
    }

    @Test
    public void withAListAnotherFailureStillFails() throws Exception {
        String out = run(FIRST, 0, "cut", "other failure");
        assertTrue(out.startsWith("1\n") && out.contains("failed, and not listed: a.BTest.other"), out);
    }
}
