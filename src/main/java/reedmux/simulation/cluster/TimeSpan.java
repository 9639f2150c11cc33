package reedmux.simulation.cluster;

import java.util.List;

/** An interval of simulated time in microseconds; both ends are inclusive. */
record TimeSpan(long from, long to) {

    /** Returns whether any of {@code spans} overlaps the inclusive interval {@code from..to}. */
    static boolean overlapsAny(List<TimeSpan> spans, long from, long to) {
        for (TimeSpan span : spans) {
            if (span.from <= to && from <= span.to) {
                return true;
            }
        }
        return false;
    }
}
