package reedmux.simulation.cluster;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Records when machines and the core had faults, so that the invariants can allow for them. A machine is identified by
 * its node name or its address. Times are microseconds.
 */
final class FaultSchedule {
    private static final long SECOND = 1_000_000;
    /** How long machines may take to regain contact after a fault. */
    private static final long CONTACT_MICROS = 3 * SECOND;

    private final Map<String, List<TimeSpan>> machineFaults = new HashMap<>();
    private final List<TimeSpan> coreFaults = new ArrayList<>();
    private final List<TimeSpan> majorityFaults = new ArrayList<>();
    private final Map<String, List<TimeSpan>> minorities = new HashMap<>();

    void addMachineFault(String machine, long from, long to) {
        machineFaults.computeIfAbsent(machine, name -> new ArrayList<>()).add(new TimeSpan(from, to));
    }

    /**
     * Adds a fault of the core that is repaired by {@code to}. If a majority remains, the core settles during the fault
     * once it has detected its beginning, and is disturbed again by the repair; without a majority it doesn't settle.
     */
    void addCoreFault(long from, long to, boolean majorityLost) {
        if (majorityLost) {
            majorityFaults.add(new TimeSpan(from, to));
            coreFaults.add(new TimeSpan(from, to));
        } else {
            coreFaults.add(new TimeSpan(from, from));
            coreFaults.add(new TimeSpan(Math.max(from, to - SECOND), to));
        }
    }

    /** Adds an interval in which a machine could reach less than a majority of the core. */
    void addMinority(String machine, long from, long to) {
        minorities.computeIfAbsent(machine, name -> new ArrayList<>()).add(new TimeSpan(from, to));
    }

    /** Returns whether a machine had no fault in an interval, nor in the time before it needed to regain contact. */
    boolean isInContact(String machine, long from, long to) {
        return !TimeSpan.overlapsAny(machineFaults.getOrDefault(machine, List.of()), from - CONTACT_MICROS, to);
    }

    /** Returns whether the core had no fault in an interval, nor in the time before it needed to regain contact. */
    boolean isCoreSettled(long from, long to) {
        return !TimeSpan.overlapsAny(coreFaults, from - CONTACT_MICROS, to);
    }

    /** Returns whether the core had no majority at any time of an interval. */
    boolean lostMajority(long from, long to) {
        return TimeSpan.overlapsAny(majorityFaults, from, to);
    }

    /** Returns whether a process could reach only a minority of the core from its start until {@code now}. */
    boolean wasInMinority(String machine, long startedAt, long now) {
        for (TimeSpan span : minorities.getOrDefault(machine, List.of())) {
            if (span.from() <= startedAt && now <= span.to()) {
                return true;
            }
        }
        return false;
    }

    /** Returns the longest time within an interval during which the core was settled, in microseconds. */
    long longestSettledMicros(long from, long to) {
        long longest = 0;
        long begin = from;
        List<TimeSpan> spans = new ArrayList<>(coreFaults);
        spans.sort(Comparator.comparingLong(TimeSpan::from));
        for (TimeSpan span : spans) {
            longest = Math.max(longest, Math.min(to, span.from()) - begin);
            begin = Math.max(begin, span.to() + CONTACT_MICROS);
        }
        return Math.max(longest, to - begin);
    }
}
