package reedmux.common.logging;

import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Checks invariants at run time, in production as well as in tests. A violation is counted, written to the log after
 * the buffered debug lines, and reported to a listener, through which tests, the simulation and the soak test fail. The
 * program continues to run after a violation.
 *
 * <p>Not thread-safe, except for {@link #violations()}.
 */
public final class InvariantMonitor {
    /** The beginning of the log line of a violation, after the timestamp. */
    public static final String LOG_PREFIX = "invariant violated: ";

    private final RingBufferLogger logger;
    private Consumer<String> listener = violation -> {};
    private volatile int violations;

    /** Creates a monitor that writes violations to {@code logger}. */
    public InvariantMonitor(RingBufferLogger logger) {
        this.logger = logger;
    }

    /** Sets the listener that receives the text of each violation; replaces the previous listener. */
    public void setListener(Consumer<String> newListener) {
        listener = newListener;
    }

    /** Returns the number of violations since this monitor was created. */
    public int violations() {
        return violations;
    }

    /**
     * Counts and reports a violation unless {@code holds} is true.
     *
     * @param invariant a description of the invariant
     * @param detail    supplies a description of the observed state; called only if the invariant is violated
     */
    public void check(boolean holds, String invariant, Supplier<String> detail) {
        if (holds) {
            return;
        }
        violations++;
        String violation = invariant + ": " + detail.get();
        logger.error(LOG_PREFIX + violation);
        listener.accept(violation);
    }
}
