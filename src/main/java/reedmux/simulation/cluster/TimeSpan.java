package reedmux.simulation.cluster;

import java.util.List;

/** A span of simulated time in microseconds, both ends included. */
record TimeSpan(long from, long to) {

    /** Whether any of {@code spans} has a moment in common with that from one time to another. */
    static boolean overlapsAny(List<TimeSpan> spans, long from, long to) {
        for (TimeSpan span : spans) {
            if (span.from <= to && from <= span.to) {
                return true;
            }
        }
        return false;
    }
}
