package reedmux.lab.rules;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import reedmux.lab.rules.RuleChecker.Budget;
import reedmux.lab.rules.RuleChecker.Fault;
import reedmux.lab.rules.RuleChecker.Figures;
import reedmux.lab.rules.RuleChecker.Kind;
import reedmux.lab.rules.RuleChecker.Plan;
import reedmux.lab.rules.RuleChecker.Tolerance;

/**
 * A history as text, an event a line in the order of their times: {@code TIME WHAT ...}, with the words of
 * {@link RuleChecker}'s methods; {@code #} begins a comment, {@code budget GROUP SHARE RATE BURST} bounds
 * what a group sends away, {@code tolerance BURSTS MICROS} is that of the quotas, and {@code end TIME} is the
 * last line.
 */
public final class History {
    private final RuleChecker checker;
    private final Map<String, Budget> budgets = new HashMap<>();
    private List<Fault> faults;

    private History(Figures figures) {
        checker = new RuleChecker(figures);
    }

    /**
     * Reads and checks a history.
     *
     * @throws IllegalArgumentException with the line that cannot be read, or where there is no end
     */
    public static History check(Figures figures, List<String> lines) {
        History history = new History(figures);
        for (String line : lines) {
            if (line.isBlank() || line.startsWith("#")) {
                continue;
            } else if (history.faults != null) {
                throw new IllegalArgumentException("behind the end: " + line);
            }
            try {
                history.take(line.split(" "));
            } catch (RuntimeException e) {
                throw new IllegalArgumentException("cannot be read: " + line, e);
            }
        }
        if (history.faults == null) {
            throw new IllegalArgumentException("the history has no end");
        }
        return history;
    }

    /** What is broken. */
    public List<Fault> faults() {
        return faults;
    }

    public RuleChecker checker() {
        return checker;
    }

    private void take(String[] f) {
        if (f[0].equals("end")) {
            faults = checker.faults(Long.parseLong(f[1]), budgets);
            return;
        } else if (f[0].equals("tolerance")) {
            checker.allow(new Tolerance(Double.parseDouble(f[1]), Long.parseLong(f[2])));
            return;
        } else if (f[0].equals("budget")) {
            budgets.put(f[1], new Budget(Double.parseDouble(f[2]), Double.parseDouble(f[3]), Double.parseDouble(f[4])));
            return;
        }
        long at = Long.parseLong(f[0]);
        switch (f[1]) {
            case "taken" ->
                checker.taken(
                        at,
                        f[2],
                        f[3],
                        f[4],
                        word(f[5], "safe", "unsafe"),
                        plan(f[6]),
                        Long.parseLong(f[7]),
                        Double.parseDouble(f[8]),
                        Long.parseLong(f[9]));
            case "excused" -> checker.excused(at, f[2]);
            case "answered" -> checker.answered(at, f[2], Kind.valueOf(f[3].toUpperCase(Locale.ROOT)));
            case "begins" -> checker.begins(at, f[2], f[3], Integer.parseInt(f[4]), f[5]);
            case "whole" -> checker.whole(at, f[2], f[3], Integer.parseInt(f[4]), f[5], Double.parseDouble(f[6]));
            case "ended" ->
                checker.ended(at, f[2], f[3], Integer.parseInt(f[4]), word(f[5], "never-ran", "may-have-run"));
            case "runs" -> checker.runs(at, f[2]);
            case "told" -> checker.told(at, f[2], f[3], word(f[4], "ready", "not-ready"));
            case "restarted" -> checker.restarted(at, f[2]);
            case "started" ->
                checker.started(at, f[2], Double.parseDouble(f[3]), Double.parseDouble(f[4]), Long.parseLong(f[5]));
            case "crossed" -> checker.crossed(at, f[2], f[3], Double.parseDouble(f[4]));
            default -> throw new IllegalArgumentException("no such event: " + f[1]);
        }
    }

    private static boolean word(String told, String yes, String no) {
        if (!told.equals(yes) && !told.equals(no)) {
            throw new IllegalArgumentException(told + " is neither " + yes + " nor " + no);
        }
        return told.equals(yes);
    }

    private static Plan plan(String told) {
        if (told.equals("-")) {
            return null;
        }
        String[] f = told.split("/");
        return new Plan(
                Double.parseDouble(f[0]),
                Double.parseDouble(f[1]),
                Double.parseDouble(f[2]),
                Double.parseDouble(f[3]),
                Double.parseDouble(f[4]));
    }
}
