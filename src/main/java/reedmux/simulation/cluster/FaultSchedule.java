package reedmux.simulation.cluster;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which machines had a fault when, as far as the invariants make allowance for it. Machines are named by node or by
 * address. Times are microseconds.
 */
final class FaultSchedule {
    private static final long SECOND = 1_000_000;
    /** How long machines take to be in contact again after a fault. */
    private static final long CONTACT_MICROS = 3 * SECOND;

    private final Map<String, List<TimeSpan>> machineFaults = new HashMap<>();
    private final List<TimeSpan> coreFaults = new ArrayList<>();
    private final List<TimeSpan> majorityFaults = new ArrayList<>();
    private final Map<String, List<TimeSpan>> minorities = new HashMap<>();

    void addMachineFault(String machine, long from, long to) {
        machineFaults.computeIfAbsent(machine, name -> new ArrayList<>()).add(new TimeSpan(from, to));
    }

    /**
     * A fault of the core that was undone by {@code to}. With a majority left the core settles in between, once it has
     * noticed the fault's beginning; without one it does not.
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

    /** A machine could reach less than a majority of the core. */
    void addMinority(String machine, long from, long to) {
        minorities.computeIfAbsent(machine, name -> new ArrayList<>()).add(new TimeSpan(from, to));
    }

    /** Whether a machine had no fault in a span and the time before it in which it regained contact. */
    boolean isInContact(String machine, long from, long to) {
        return !TimeSpan.overlapsAny(machineFaults.getOrDefault(machine, List.of()), from - CONTACT_MICROS, to);
    }

    /** Whether the core had no fault in a span and the time before it in which it regained contact. */
    boolean isCoreSettled(long from, long to) {
        return !TimeSpan.overlapsAny(coreFaults, from - CONTACT_MICROS, to);
    }

    /** Whether the core was without a majority at some time of a span. */
    boolean lostMajority(long from, long to) {
        return TimeSpan.overlapsAny(majorityFaults, from, to);
    }

    /** Whether a process that was started at one time could reach a minority only, then and until another time. */
    boolean wasInMinority(String machine, long startedAt, long now) {
        for (TimeSpan span : minorities.getOrDefault(machine, List.of())) {
            if (span.from() <= startedAt && now <= span.to()) {
                return true;
            }
        }
        return false;
    }

    /** The longest time within a span in which the core was settled. */
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
