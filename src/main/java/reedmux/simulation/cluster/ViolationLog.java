package reedmux.simulation.cluster;

import java.util.ArrayList;
import java.util.List;

/** The violations of one run, each once, up to a limit. */
final class ViolationLog {
    private static final int MAX_VIOLATIONS = 40;
    private final List<String> violations = new ArrayList<>();

    /** Adds a violation of a rule unless it is known already. */
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
