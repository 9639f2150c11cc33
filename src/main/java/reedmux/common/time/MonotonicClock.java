package reedmux.common.time;

import java.util.concurrent.TimeUnit;

/**
 * A monotonic clock in whole microseconds. It starts at one hour rather than at 0, so that times shortly before the
 * process began, which discovery reports, are positive too, and 0 can stand for "long ago". Thread-safe.
 */
public final class MonotonicClock {
    private static final long ORIGIN_MICROS = TimeUnit.HOURS.toMicros(1);
    private final long originNanos = System.nanoTime();
    private final long originUnixMillis = System.currentTimeMillis();

    /** Microseconds on this clock. */
    public long now() {
        return ORIGIN_MICROS + (System.nanoTime() - originNanos) / 1000;
    }

    /**
     * Converts a Unix time in milliseconds to this clock, by the offset between the clocks at the start, so that one
     * moment always has the same value. 0 stays 0; nothing else becomes less than 1.
     */
    public long fromUnixMillis(long millis) {
        return millis == 0 ? 0 : Math.max(1, ORIGIN_MICROS + (millis - originUnixMillis) * 1000);
    }
}
