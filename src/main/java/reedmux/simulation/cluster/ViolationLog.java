package reedmux.simulation.cluster;

import java.util.ArrayList;
import java.util.List;

/** Collects the distinct violations of one run, up to {@value #MAX_VIOLATIONS} of them. */
final class ViolationLog {
    private static final int MAX_VIOLATIONS = 40;
    private final List<String> violations = new ArrayList<>();

    /** Records a violation of a rule, unless the same violation is already recorded or the limit is reached. */
    void report(String rule, String description) {
        String line = rule + ": " + description;
        if (violations.size() < MAX_VIOLATIONS && !violations.contains(line)) {
            violations.add(line);
        }
    }

    List<String> violations() {
        return violations;
    }
}
