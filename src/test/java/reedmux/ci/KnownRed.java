package reedmux.ci;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import javax.xml.parsers.DocumentBuilderFactory;
import javax.xml.parsers.ParserConfigurationException;
import org.w3c.dom.Element;
import org.w3c.dom.NodeList;
import org.xml.sax.SAXException;

/**
 * Judges a test run in which Maven ignored test failures: the run passes only if every failed test is listed in
 * {@code KNOWN-RED.txt}. {@code .ci/run} calls it. With the list as the only argument, it checks just the format of
 * the list.
 */
public final class KnownRed {
    static final int MAX_LISTED = 3;
    /** The test, the command with its seed, what was seen, and the issue. */
    private static final Pattern ENTRY =
            Pattern.compile("([\\w.$]+\\.\\w+)\\s*,\\s*(\\S.*?)\\s*,\\s*(\\S.*?)\\s*,\\s*(#\\d+)");

    private static final Pattern SUMMARY =
            Pattern.compile("Tests run: (\\d+), Failures: (\\d+), Errors: (\\d+), Skipped: (\\d+)\\s*$");
    /** What Surefire logs when a forked test JVM exits early, in which case some tests have no report. */
    private static final Pattern INCOMPLETE_RUN =
            Pattern.compile("The forked VM terminated|error in the fork|Crashed tests:|Corrupted channel");

    private final List<String> messages = new ArrayList<>();
    private boolean passed = true;

    private KnownRed() {}

    public static void main(String[] args) throws IOException {
        if (args.length != 1 && args.length != 3) {
            System.err.println("usage: KnownRed LIST [REPORTS LOG]");
            System.exit(2);
        }
        KnownRed outcome = args.length == 1
                ? checkList(Path.of(args[0]))
                : decide(Path.of(args[0]), Path.of(args[1]), Path.of(args[2]));
        outcome.messages.forEach(System.out::println);
        System.exit(outcome.passed ? 0 : 1);
    }

    boolean passed() {
        return passed;
    }

    List<String> messages() {
        return messages;
    }

    private void reportError(String line) {
        passed = false;
        messages.add("KNOWN-RED: " + line);
    }

    /** Checks the format of the list without looking at any test reports. */
    static KnownRed checkList(Path list) throws IOException {
        KnownRed outcome = new KnownRed();
        outcome.read(list);
        return outcome;
    }

    /** Returns each listed test with its line, and reports the lines that are malformed or duplicated. */
    private Map<String, String> read(Path list) throws IOException {
        Map<String, String> tests = new LinkedHashMap<>();
        int number = 0;
        for (String line : Files.readAllLines(list)) {
            number++;
            Matcher parts = ENTRY.matcher(line.strip());
            if (line.isBlank()) {
                continue;
            } else if (!parts.matches()) {
                reportError(list.getFileName() + ":" + number
                        + ": not 'package.Class.method, command and seed, what was seen, #issue': " + line);
            } else if (tests.put(parts.group(1), line.strip()) != null) {
                reportError(list.getFileName() + ":" + number + ": listed twice: " + parts.group(1));
            }
        }
        if (tests.size() > MAX_LISTED) {
            reportError(
                    list.getFileName() + " lists " + tests.size() + " tests, " + MAX_LISTED + " at most are let pass");
        }
        return tests;
    }

    /** Compares the failures in the reports and in Maven's log with the list. */
    static KnownRed decide(Path list, Path reports, Path log) throws IOException {
        KnownRed outcome = new KnownRed();
        Map<String, String> listed = outcome.read(list);
        Map<String, Integer> failed = new TreeMap<>();
        Map<String, Integer> ran = new TreeMap<>();
        int failures = 0;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(reports, "TEST-*.xml")) {
            for (Path file : files) {
                failures += count(file, ran, failed);
            }
        }
        outcome.checkComplete(Files.readAllLines(log), failures);
        failed.forEach((test, times) -> {
            if (!listed.containsKey(test)) {
                outcome.reportError("failed, and not listed: " + test);
            }
        });
        listed.forEach((test, line) -> {
            if (failed.containsKey(test)) {
                outcome.messages.add("KNOWN-RED: let pass: " + line);
            } else if (ran.containsKey(test)) {
                outcome.messages.add("KNOWN-RED: passed, take it off the list: " + line);
            } else {
                outcome.reportError("listed, but did not run: " + line);
            }
        });
        return outcome;
    }

    /** Checks that the reports have as many failures as Surefire's summary, and that no test JVM exited early. */
    private void checkComplete(List<String> log, int failures) {
        int summaryFailures = -1;
        for (String line : log) {
            Matcher sum = SUMMARY.matcher(line);
            if (INCOMPLETE_RUN.matcher(line).find()) {
                reportError("the tests did not all run: " + line.strip());
            } else if (sum.find()) {
                summaryFailures = Integer.parseInt(sum.group(2)) + Integer.parseInt(sum.group(3));
            }
        }
        if (summaryFailures != failures) {
            reportError(
                    summaryFailures < 0
                            ? "the log has no closing line of Surefire"
                            : "the closing line counts " + summaryFailures + " failures and errors, the reports have "
                                    + failures);
        }
    }

    private static int count(Path file, Map<String, Integer> ran, Map<String, Integer> failed) throws IOException {
        int failures = 0;
        try {
            NodeList cases = DocumentBuilderFactory.newInstance()
                    .newDocumentBuilder()
                    .parse(file.toFile())
                    .getElementsByTagName("testcase");
            for (int i = 0; i < cases.getLength(); i++) {
                Element testCase = (Element) cases.item(i);
                // For a parameterized test, Surefire appends the parameters and the index to the method name.
                String test = testCase.getAttribute("classname")
                        + '.'
                        + testCase.getAttribute("name").replaceFirst("[^\\w].*", "");
                boolean failedCase = testCase.getElementsByTagName("failure").getLength()
                                + testCase.getElementsByTagName("error").getLength()
                        > 0;
                boolean skipped = testCase.getElementsByTagName("skipped").getLength() > 0;
                if (failedCase) {
                    failures++;
                    failed.merge(test, 1, Integer::sum);
                } else if (!skipped) {
                    ran.merge(test, 1, Integer::sum);
                }
            }
        } catch (ParserConfigurationException | SAXException e) {
            throw new IOException(file + " cannot be read: " + e.getMessage(), e);
        }
        return failures;
    }
}
