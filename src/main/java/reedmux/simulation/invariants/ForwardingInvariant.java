package reedmux.simulation.invariants;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import reedmux.simulation.invariants.HistoryChecker.ForwardingBudget;
import reedmux.simulation.invariants.HistoryChecker.HistoryRule;
import reedmux.simulation.invariants.HistoryChecker.TimedAmount;

/** Each group keeps to its budget for what it forwards to other regions. */
final class ForwardingInvariant {
    private final ViolationLog log;
    private final Map<String, List<TimedAmount>> forwardsOfGroup = new TreeMap<>();
    private final Map<String, Integer> acceptedOfGroup = new TreeMap<>();

    ForwardingInvariant(ViolationLog log) {
        this.log = log;
    }

    void onAccepted(String group) {
        acceptedOfGroup.merge(group, 1, Integer::sum);
    }

    void onForwarded(long at, String group, double units) {
        forwardsOfGroup.computeIfAbsent(group, key -> new ArrayList<>()).add(new TimedAmount(at, units));
    }

    /** Checks all of a group's forwards at the end of the history. */
    void check(long at, String group, ForwardingBudget budget) {
        List<TimedAmount> forwards = forwardsOfGroup.getOrDefault(group, List.of());
        int accepted = acceptedOfGroup.getOrDefault(group, 0);
        if (forwards.size() > budget.share() * accepted + HistoryChecker.ROUNDING_TOLERANCE) {
            log.add(HistoryRule.AWAY, at, group + " sent " + forwards.size() + " away of " + accepted);
        }
        double level = 0;
        long before = forwards.isEmpty() ? 0 : forwards.get(0).at();
        for (TimedAmount forward : forwards) {
            long passed = forward.at() - before;
            before = forward.at();
            level = Math.max(0, level - budget.rate() * passed / HistoryChecker.MICROS_PER_SECOND) + forward.amount();
            if (level > budget.burst() + HistoryChecker.ROUNDING_TOLERANCE) {
                String what = group + " sent " + level + " units away in a burst, at most " + budget.burst();
                log.add(HistoryRule.AWAY, forward.at(), what);
                return;
            }
        }
    }
}
