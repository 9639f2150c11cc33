package reedmux.simulation.invariants;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import reedmux.simulation.invariants.HistoryChecker.AnswerKind;
import reedmux.simulation.invariants.HistoryChecker.ForwardingBudget;
import reedmux.simulation.invariants.HistoryChecker.PlanLimits;
import reedmux.simulation.invariants.HistoryChecker.QuotaTolerance;
import reedmux.simulation.invariants.HistoryChecker.RuleParameters;
import reedmux.simulation.invariants.HistoryChecker.Violation;

/**
 * Reads a history from text and checks it. Each line holds one event as {@code TIME EVENT ...}, in chronological order;
 * the values are the parameters of the {@link HistoryChecker} method for that event. Lines that start with {@code #}
 * are comments, {@code budget GROUP SHARE RATE BURST} sets the forwarding budget of a group, {@code tolerance BURSTS
 * MICROS} sets the quota tolerance, and {@code end TIME} is the last line.
 */
public final class HistoryReader {
    private final HistoryChecker checker;
    private final Map<String, ForwardingBudget> budgets = new HashMap<>();
    private List<Violation> violations;

    private HistoryReader(RuleParameters parameters) {
        checker = new HistoryChecker(parameters);
    }

    /**
     * Reads and checks a history.
     *
     * @throws MalformedHistoryException at the first malformed line, or if the {@code end} line is missing
     */
    public static HistoryReader check(RuleParameters parameters, List<String> lines) {
        HistoryReader reader = new HistoryReader(parameters);
        int lineNumber = 0;
        for (String line : lines) {
            lineNumber++;
            if (line.isBlank() || line.startsWith("#")) {
                continue;
            } else if (reader.violations != null) {
                throw new MalformedHistoryException(lineNumber, "line after the end of the history: " + line, null);
            }
            try {
                reader.readLine(line.split(" "));
            } catch (RuntimeException e) {
                throw new MalformedHistoryException(lineNumber, "malformed line: " + line, e);
            }
        }
        if (reader.violations == null) {
            throw new MalformedHistoryException(lineNumber, "the history has no end line", null);
        }
        return reader;
    }

    /** Returns the violations found. */
    public List<Violation> violations() {
        return violations;
    }

    /** Returns the checker that processed the history. */
    public HistoryChecker checker() {
        return checker;
    }

    private void readLine(String[] fields) {
        if (fields[0].equals("end")) {
            violations = checker.violations(Long.parseLong(fields[1]), budgets);
            return;
        } else if (fields[0].equals("tolerance")) {
            checker.setQuotaTolerance(new QuotaTolerance(Double.parseDouble(fields[1]), Long.parseLong(fields[2])));
            return;
        } else if (fields[0].equals("budget")) {
            budgets.put(
                    fields[1],
                    new ForwardingBudget(
                            Double.parseDouble(fields[2]),
                            Double.parseDouble(fields[3]),
                            Double.parseDouble(fields[4])));
            return;
        }
        long timeMicros = Long.parseLong(fields[0]);
        switch (fields[1]) {
            case "taken" ->
                checker.onAccepted(
                        timeMicros,
                        fields[2],
                        fields[3],
                        fields[4],
                        readBoolean(fields[5], "safe", "unsafe"),
                        readPlan(fields[6]),
                        Long.parseLong(fields[7]),
                        Double.parseDouble(fields[8]),
                        Long.parseLong(fields[9]));
            case "excused" -> checker.onExcused(timeMicros, fields[2]);
            case "answered" ->
                checker.onAnswered(timeMicros, fields[2], AnswerKind.valueOf(fields[3].toUpperCase(Locale.ROOT)));
            case "begins" ->
                checker.onCallStarted(timeMicros, fields[2], fields[3], Integer.parseInt(fields[4]), fields[5]);
            case "whole" ->
                checker.onRequestDelivered(
                        timeMicros,
                        fields[2],
                        fields[3],
                        Integer.parseInt(fields[4]),
                        fields[5],
                        Double.parseDouble(fields[6]));
            case "ended" ->
                checker.onCallEnded(
                        timeMicros,
                        fields[2],
                        fields[3],
                        Integer.parseInt(fields[4]),
                        readBoolean(fields[5], "never-ran", "may-have-run"));
            case "runs" -> checker.onExecuted(timeMicros, fields[2]);
            case "told" ->
                checker.onProviderStatus(
                        timeMicros, fields[2], fields[3], readBoolean(fields[4], "ready", "not-ready"));
            case "restarted" -> checker.onGatekeeperRestarted(timeMicros, fields[2]);
            case "started" ->
                checker.onProviderStarted(
                        timeMicros,
                        fields[2],
                        Double.parseDouble(fields[3]),
                        Double.parseDouble(fields[4]),
                        Long.parseLong(fields[5]));
            case "crossed" -> checker.onForwarded(timeMicros, fields[2], fields[3], Double.parseDouble(fields[4]));
            default -> throw new IllegalArgumentException("unknown event: " + fields[1]);
        }
    }

    private static boolean readBoolean(String word, String trueWord, String falseWord) {
        if (!word.equals(trueWord) && !word.equals(falseWord)) {
            throw new IllegalArgumentException(word + " is neither " + trueWord + " nor " + falseWord);
        }
        return word.equals(trueWord);
    }

    private static PlanLimits readPlan(String word) {
        if (word.equals("-")) {
            return null;
        }
        String[] fields = word.split("/");
        return new PlanLimits(
                Double.parseDouble(fields[0]),
                Double.parseDouble(fields[1]),
                Double.parseDouble(fields[2]),
                Double.parseDouble(fields[3]),
                Double.parseDouble(fields[4]));
    }
}
