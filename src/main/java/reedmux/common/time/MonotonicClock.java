package reedmux.common.time;

import java.util.concurrent.TimeUnit;

/**
 * Whole microseconds of the monotonic clock. They begin an hour above nought, so that times shortly before
 * the start, which discovery tells, are times too and nought can keep its meaning of 'long ago'.
 */
public final class MonotonicClock {
    private static final long ORIGIN_MICROS = TimeUnit.HOURS.toMicros(1);
    private final long originNanos = System.nanoTime();
    private final long originUnixMillis = System.currentTimeMillis();

    public long now() {
        return ORIGIN_MICROS + (System.nanoTime() - originNanos) / 1000;
    }

    /** A Unix time on this clock, by the offset at the start: the same moment always has the same value. */
    public long fromUnixMillis(long millis) {
        return millis == 0 ? 0 : Math.max(1, ORIGIN_MICROS + (millis - originUnixMillis) * 1000);
    }
}
