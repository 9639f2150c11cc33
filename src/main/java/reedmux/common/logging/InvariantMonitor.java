package reedmux.common.logging;

import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Checks of what must always hold, which run in the programs themselves. A violation is counted, written to the log
 * with the lines that came before it, and told to a listener: tests, the simulation and the soak fail by it. The
 * program goes on.
 *
 * <p>For one thread, but for {@link #violations()}.
 */
public final class InvariantMonitor {
    /** How the log line of a violation begins, behind its time. */
    public static final String LOG_PREFIX = "invariant violated: ";

    private final RingBufferLogger logger;
    private Consumer<String> listener = violation -> {};
    private volatile int violations;

    /** A monitor that writes violations to {@code logger}. */
    public InvariantMonitor(RingBufferLogger logger) {
        this.logger = logger;
    }

    /** Sets who is told of each violation; replaces the one before. */
    public void setListener(Consumer<String> newListener) {
        listener = newListener;
    }

    /** How many violations there were. */
    public int violations() {
        return violations;
    }

    /**
     * Counts and tells a violation unless {@code holds}.
     *
     * @param invariant what must hold, in words
     * @param detail    what was found; asked for only where the invariant is violated
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
