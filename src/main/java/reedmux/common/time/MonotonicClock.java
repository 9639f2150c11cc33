package reedmux.common.time;

import java.util.concurrent.TimeUnit;

/**
 * A monotonic clock in whole microseconds. It starts at one hour instead of 0, so that times shortly before the start
 * of the process, which discovery may report, are also positive and 0 can stand for "long ago". Thread-safe.
 */
public final class MonotonicClock {
    private static final long ORIGIN_MICROS = TimeUnit.HOURS.toMicros(1);
    private final long originNanos = System.nanoTime();
    private final long originUnixMillis = System.currentTimeMillis();

    /** Returns the current time of this clock in microseconds. */
    public long now() {
        return ORIGIN_MICROS + (System.nanoTime() - originNanos) / 1000;
    }

    /**
     * Converts a Unix time in milliseconds to a time of this clock. The offset between the clocks is determined once,
     * when this clock is created, so that the same Unix time is always converted to the same value. 0 is converted to
     * 0; any other time is converted to at least 1.
     */
    public long fromUnixMillis(long millis) {
        return millis == 0 ? 0 : Math.max(1, ORIGIN_MICROS + (millis - originUnixMillis) * 1000);
    }
}
