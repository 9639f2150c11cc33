package reedmux.simulation.invariants;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import reedmux.simulation.invariants.HistoryChecker.HistoryRule;
import reedmux.simulation.invariants.HistoryChecker.RuleParameters;
import reedmux.simulation.invariants.HistoryChecker.TimedAmount;

/**
 * Checks that a provider that is warming up receives at most a configured multiple of its current capacity within a
 * sliding time window.
 */
final class ColdLoadInvariant {
    private static final class CheckedProvider {
        long startTimeMicros = Long.MIN_VALUE;
        double capacity;
        double coldCapacityShare = 1;
        long warmUpTime;
        /** Work delivered within the sliding window, oldest first. */
        final Deque<TimedAmount> delivered = new ArrayDeque<>();
    }

    private final RuleParameters parameters;
    private final ViolationLog log;
    private final Map<String, CheckedProvider> providers = new HashMap<>();

    ColdLoadInvariant(RuleParameters parameters, ViolationLog log) {
        this.parameters = parameters;
        this.log = log;
    }

    /**
     * Records the start of a provider and discards the work delivered to its predecessor.
     *
     * @param capacity          capacity once warm, in microseconds of work per second
     * @param coldCapacityShare share of that capacity that is available at the start
     */
    void onStarted(long timeMicros, String name, double capacity, double coldCapacityShare, long warmUpTime) {
        CheckedProvider provider = find(name);
        provider.startTimeMicros = timeMicros;
        provider.capacity = capacity;
        provider.coldCapacityShare = coldCapacityShare;
        provider.warmUpTime = warmUpTime;
        provider.delivered.clear();
    }

    /** Records a delivered request; {@code work} is in microseconds of one core. */
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
            log.add(
                    HistoryRule.COLD,
                    timeMicros,
                    id + " raises the work of " + name + " to " + sum + " us, limit " + max);
        }
    }

    private CheckedProvider find(String name) {
        return providers.computeIfAbsent(name, key -> new CheckedProvider());
    }
}
