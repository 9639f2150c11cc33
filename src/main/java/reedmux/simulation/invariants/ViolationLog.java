package reedmux.simulation.invariants;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import reedmux.simulation.invariants.HistoryChecker.HistoryRule;
import reedmux.simulation.invariants.HistoryChecker.Violation;

/** Collects violations and counts the checks of each rule. */
final class ViolationLog {
    /** Maximum number of violations kept; further ones add no information. */
    private static final int MAX_VIOLATIONS = 20;

    private final Map<HistoryRule, Integer> checks = new EnumMap<>(HistoryRule.class);
    private final List<Violation> violations = new ArrayList<>();

    void add(HistoryRule rule, long at, String description) {
        if (violations.size() < MAX_VIOLATIONS) {
            violations.add(new Violation(rule, at, description));
        }
    }

    /** Counts an event that was checked against a rule. */
    void countCheck(HistoryRule rule) {
        checks.merge(rule, 1, Integer::sum);
    }

    List<Violation> violations() {
        return List.copyOf(violations);
    }

    Map<HistoryRule, Integer> checks() {
        return Map.copyOf(checks);
    }
}
