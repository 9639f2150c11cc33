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
 * Decides on a run of the tests whose failures Maven was told to pass over: only those that
 * {@code KNOWN-RED.txt} lists may have failed. {@code .ci/run} calls it; one argument checks the list alone.
 */
public final class KnownRed {
    static final int MOST = 3;
    private static final Pattern LINE = Pattern.compile("([\\w.$]+\\.\\w+)\\s*,\\s*(\\S.*?)\\s*,\\s*(#\\d+)");
    private static final Pattern CLOSING =
            Pattern.compile("Tests run: (\\d+), Failures: (\\d+), Errors: (\\d+), Skipped: (\\d+)\\s*$");
    /** What Surefire says where a process of the tests ended early: not all of them have a report then. */
    private static final Pattern BROKEN =
            Pattern.compile("The forked VM terminated|error in the fork|Crashed tests:|Corrupted channel");

    private final List<String> told = new ArrayList<>();
    private boolean good = true;

    private KnownRed() {}

    public static void main(String[] args) throws IOException {
        if (args.length != 1 && args.length != 3) {
            System.err.println("usage: KnownRed LIST [REPORTS LOG]");
            System.exit(2);
        }
        KnownRed outcome = args.length == 1
                ? form(Path.of(args[0]))
                : decide(Path.of(args[0]), Path.of(args[1]), Path.of(args[2]));
        outcome.told.forEach(System.out::println);
        System.exit(outcome.good ? 0 : 1);
    }

    boolean good() {
        return good;
    }

    List<String> told() {
        return told;
    }

    private void wrong(String line) {
        good = false;
        told.add("KNOWN-RED: " + line);
    }

    /** Whether the list itself can be used. */
    static KnownRed form(Path list) throws IOException {
        KnownRed outcome = new KnownRed();
        outcome.read(list);
        return outcome;
    }

    /** Each listed test with its line. */
    private Map<String, String> read(Path list) throws IOException {
        Map<String, String> tests = new LinkedHashMap<>();
        int number = 0;
        for (String line : Files.readAllLines(list)) {
            number++;
            Matcher parts = LINE.matcher(line.strip());
            if (line.isBlank()) {
                continue;
            } else if (!parts.matches()) {
                wrong(list.getFileName() + ":" + number + ": not 'package.Class.method, cause, #issue': " + line);
            } else if (tests.put(parts.group(1), line.strip()) != null) {
                wrong(list.getFileName() + ":" + number + ": listed twice: " + parts.group(1));
            }
        }
        if (tests.size() > MOST) {
            wrong(list.getFileName() + " lists " + tests.size() + " tests, " + MOST + " at most are let pass");
        }
        return tests;
    }

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
        outcome.agrees(Files.readAllLines(log), failures);
        failed.forEach((test, times) -> {
            if (!listed.containsKey(test)) {
                outcome.wrong("failed, and not listed: " + test);
            }
        });
        listed.forEach((test, line) -> {
            if (failed.containsKey(test)) {
                outcome.told.add("KNOWN-RED: let pass: " + line);
            } else if (ran.containsKey(test)) {
                outcome.told.add("KNOWN-RED: passed, take it off the list: " + line);
            } else {
                outcome.wrong("listed, but did not run: " + line);
            }
        });
        return outcome;
    }

    /** Whether the reports are whole: as many failures as the closing line counts, no process ended. */
    private void agrees(List<String> log, int failures) {
        int closing = -1;
        for (String line : log) {
            Matcher sum = CLOSING.matcher(line);
            if (BROKEN.matcher(line).find()) {
                wrong("the tests did not all run: " + line.strip());
            } else if (sum.find()) {
                closing = Integer.parseInt(sum.group(2)) + Integer.parseInt(sum.group(3));
            }
        }
        if (closing != failures) {
            wrong(
                    closing < 0
                            ? "the log has no closing line of Surefire"
                            : "the closing line counts " + closing + " failures and errors, the reports have "
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
                Element one = (Element) cases.item(i);
                // A case of several is told with its parameters and number behind the method's name.
                String test = one.getAttribute("classname")
                        + '.'
                        + one.getAttribute("name").replaceFirst("[^\\w].*", "");
                boolean red = one.getElementsByTagName("failure").getLength()
                                + one.getElementsByTagName("error").getLength()
                        > 0;
                boolean skipped = one.getElementsByTagName("skipped").getLength() > 0;
                if (red) {
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
