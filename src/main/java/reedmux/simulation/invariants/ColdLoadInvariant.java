package reedmux.simulation.invariants;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import reedmux.simulation.invariants.HistoryChecker.HistoryRule;
import reedmux.simulation.invariants.HistoryChecker.RuleParameters;
import reedmux.simulation.invariants.HistoryChecker.TimedAmount;

/** A provider that warms up is sent no more work within a window than a multiple of its capacity at that time. */
final class ColdLoadInvariant {
    private static final class CheckedProvider {
        long startTimeMicros = Long.MIN_VALUE;
        double capacity;
        double coldCapacityShare = 1;
        long warmUpTime;
        /** Work that was delivered within the window. */
        final Deque<TimedAmount> delivered = new ArrayDeque<>();
    }

    private final RuleParameters parameters;
    private final ViolationLog log;
    private final Map<String, CheckedProvider> providers = new HashMap<>();

    ColdLoadInvariant(RuleParameters parameters, ViolationLog log) {
        this.parameters = parameters;
        this.log = log;
    }

    /** A provider has started; {@code capacity} in microseconds of work a second once it is warm. */
    void onStarted(long timeMicros, String name, double capacity, double coldCapacityShare, long warmUpTime) {
        CheckedProvider provider = find(name);
        provider.startTimeMicros = timeMicros;
        provider.capacity = capacity;
        provider.coldCapacityShare = coldCapacityShare;
        provider.warmUpTime = warmUpTime;
        provider.delivered.clear();
    }

    /** A request of so much work, in microseconds of one core, was delivered. */
    void onDelivered(long timeMicros, String id, String name, double work) {
        CheckedProvider provider = find(name);
        provider.delivered.add(new TimedAmount(timeMicros, work));
        while (provider.delivered.peek().timeMicros() <= timeMicros - parameters.coldOverloadWindow()) {
            provider.delivered.poll();
        }
        long age = timeMicros - provider.startTimeMicros;
        if (provider.startTimeMicros == Long.MIN_VALUE || age >= provider.warmUpTime) {
            return;
        }
        log.countCheck(HistoryRule.COLD);
        double share = provider.coldCapacityShare + (1 - provider.coldCapacityShare) * age / provider.warmUpTime;
        double max = parameters.coldOverloadMultiple()
                * share
                * provider.capacity
                * parameters.coldOverloadWindow()
                / HistoryChecker.MICROS_PER_SECOND;
        double sum =
                provider.delivered.stream().mapToDouble(TimedAmount::amount).sum();
        if (sum > max) {
            log.add(HistoryRule.COLD, timeMicros, id + " brings " + name + " to " + sum + " us of work, at most " + max);
        }
    }

    private CheckedProvider find(String name) {
        return providers.computeIfAbsent(name, key -> new CheckedProvider());
    }
}
