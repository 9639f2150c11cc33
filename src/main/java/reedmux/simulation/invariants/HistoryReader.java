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
 * A history as text, an event a line in the order of their times: {@code TIME WHAT ...}, with the words of
 * {@link HistoryChecker}'s methods; {@code #} begins a comment, {@code budget GROUP SHARE RATE BURST} bounds
 * what a group sends away, {@code tolerance BURSTS MICROS} is that of the quotas, and {@code end TIME} is the
 * last line.
 */
public final class HistoryReader {
    private final HistoryChecker checker;
    private final Map<String, ForwardingBudget> budgets = new HashMap<>();
    private List<Violation> violations;

    private HistoryReader(RuleParameters figures) {
        checker = new HistoryChecker(figures);
    }

    /**
     * Reads and checks a history.
     *
     * @throws IllegalArgumentException with the line that cannot be read, or where there is no end
     */
    public static HistoryReader check(RuleParameters figures, List<String> lines) {
        HistoryReader history = new HistoryReader(figures);
        for (String line : lines) {
            if (line.isBlank() || line.startsWith("#")) {
                continue;
            } else if (history.violations != null) {
                throw new IllegalArgumentException("behind the end: " + line);
            }
            try {
                history.readLine(line.split(" "));
            } catch (RuntimeException e) {
                throw new IllegalArgumentException("cannot be read: " + line, e);
            }
        }
        if (history.violations == null) {
            throw new IllegalArgumentException("the history has no end");
        }
        return history;
    }

    /** What is broken. */
    public List<Violation> violations() {
        return violations;
    }

    public HistoryChecker checker() {
        return checker;
    }

    private void readLine(String[] f) {
        if (f[0].equals("end")) {
            violations = checker.violations(Long.parseLong(f[1]), budgets);
            return;
        } else if (f[0].equals("tolerance")) {
            checker.setQuotaTolerance(new QuotaTolerance(Double.parseDouble(f[1]), Long.parseLong(f[2])));
            return;
        } else if (f[0].equals("budget")) {
            budgets.put(
                    f[1],
                    new ForwardingBudget(Double.parseDouble(f[2]), Double.parseDouble(f[3]), Double.parseDouble(f[4])));
            return;
        }
        long at = Long.parseLong(f[0]);
        switch (f[1]) {
            case "taken" ->
                checker.onAccepted(
                        at,
                        f[2],
                        f[3],
                        f[4],
                        readChoice(f[5], "safe", "unsafe"),
                        readPlan(f[6]),
                        Long.parseLong(f[7]),
                        Double.parseDouble(f[8]),
                        Long.parseLong(f[9]));
            case "excused" -> checker.onExcused(at, f[2]);
            case "answered" -> checker.onAnswered(at, f[2], AnswerKind.valueOf(f[3].toUpperCase(Locale.ROOT)));
            case "begins" -> checker.onCallStarted(at, f[2], f[3], Integer.parseInt(f[4]), f[5]);
            case "whole" ->
                checker.onRequestDelivered(at, f[2], f[3], Integer.parseInt(f[4]), f[5], Double.parseDouble(f[6]));
            case "ended" ->
                checker.onCallEnded(
                        at, f[2], f[3], Integer.parseInt(f[4]), readChoice(f[5], "never-ran", "may-have-run"));
            case "runs" -> checker.onExecuted(at, f[2]);
            case "told" -> checker.onProviderStatus(at, f[2], f[3], readChoice(f[4], "ready", "not-ready"));
            case "restarted" -> checker.onGatekeeperRestarted(at, f[2]);
            case "started" ->
                checker.onProviderStarted(
                        at, f[2], Double.parseDouble(f[3]), Double.parseDouble(f[4]), Long.parseLong(f[5]));
            case "crossed" -> checker.onForwarded(at, f[2], f[3], Double.parseDouble(f[4]));
            default -> throw new IllegalArgumentException("no such event: " + f[1]);
        }
    }

    private static boolean readChoice(String told, String yes, String no) {
        if (!told.equals(yes) && !told.equals(no)) {
            throw new IllegalArgumentException(told + " is neither " + yes + " nor " + no);
        }
        return told.equals(yes);
    }

    private static PlanLimits readPlan(String told) {
        if (told.equals("-")) {
            return null;
        }
        String[] f = told.split("/");
        return new PlanLimits(
                Double.parseDouble(f[0]),
                Double.parseDouble(f[1]),
                Double.parseDouble(f[2]),
                Double.parseDouble(f[3]),
                Double.parseDouble(f[4]));
    }
}
