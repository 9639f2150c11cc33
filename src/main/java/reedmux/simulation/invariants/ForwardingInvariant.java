package reedmux.simulation.invariants;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import reedmux.simulation.invariants.HistoryChecker.ForwardingBudget;
import reedmux.simulation.invariants.HistoryChecker.HistoryRule;
import reedmux.simulation.invariants.HistoryChecker.TimedAmount;

/** Checks that each group stays within its budget for requests forwarded to other regions. */
final class ForwardingInvariant {
    private final ViolationLog log;
    private final Map<String, List<TimedAmount>> forwardsByGroup = new TreeMap<>();
    private final Map<String, Integer> acceptedCountByGroup = new TreeMap<>();

    ForwardingInvariant(ViolationLog log) {
        this.log = log;
    }

    void onAccepted(String group) {
        acceptedCountByGroup.merge(group, 1, Integer::sum);
    }

    void onForwarded(long timeMicros, String group, double units) {
        forwardsByGroup.computeIfAbsent(group, key -> new ArrayList<>()).add(new TimedAmount(timeMicros, units));
    }

    /** Checks all forwards of a group against its budget; called once, at the end of the history. */
    void check(long timeMicros, String group, ForwardingBudget budget) {
        List<TimedAmount> forwards = forwardsByGroup.getOrDefault(group, List.of());
        int accepted = acceptedCountByGroup.getOrDefault(group, 0);
        if (forwards.size() > budget.share() * accepted + HistoryChecker.ROUNDING_TOLERANCE) {
            log.add(HistoryRule.AWAY, timeMicros, group + " forwarded " + forwards.size() + " requests of " + accepted);
        }
        double level = 0;
        long previousTimeMicros = forwards.isEmpty() ? 0 : forwards.get(0).timeMicros();
        for (TimedAmount forward : forwards) {
            long elapsedMicros = forward.timeMicros() - previousTimeMicros;
            previousTimeMicros = forward.timeMicros();
            level = Math.max(0, level - budget.rate() * elapsedMicros / HistoryChecker.MICROS_PER_SECOND)
                    + forward.amount();
            if (level > budget.burst() + HistoryChecker.ROUNDING_TOLERANCE) {
                String description = group + " sent " + level + " units away in a burst, limit " + budget.burst();
                log.add(HistoryRule.AWAY, forward.timeMicros(), description);
                return;
            }
        }
    }
}
