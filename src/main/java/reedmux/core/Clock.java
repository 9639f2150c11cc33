package reedmux.core;

import java.util.concurrent.TimeUnit;

/**
 * Whole microseconds of the monotonic clock. They begin an hour above nought, so that times shortly before
 * the start, which discovery tells, are times too and nought can keep its meaning of 'long ago'.
 */
public final class Clock {
    private static final long BEGIN = TimeUnit.HOURS.toMicros(1);
    private final long origin = System.nanoTime();
    private final long unixOrigin = System.currentTimeMillis();

    public long now() {
        return BEGIN + (System.nanoTime() - origin) / 1000;
    }

    /** A Unix time on this clock, by the offset at the start: the same moment always has the same value. */
    public long fromUnixMillis(long millis) {
        return millis == 0 ? 0 : Math.max(1, BEGIN + (millis - unixOrigin) * 1000);
    }
}
