package reedmux.http;

import java.util.concurrent.TimeUnit;

/**
 * The line between a slow consumer and one that is up to no good: by when how much of a request must have
 * come in. Times are microseconds.
 */
final class Pace {
    /** Usual consumers bring 64 kB a second at least; somewhat less is borne. */
    private static final double BYTES_A_MICRO = 0.06;
    /** What a body has for its first bytes, beside what its head may take. */
    private static final long GRANTED = TimeUnit.MILLISECONDS.toMicros(400);

    private Pace() {}

    /**
     * Whether a request that began so long ago should have more of its body here than it has.
     *
     * @param headLimit what a head may take
     */
    static boolean late(long begunAgo, long headLimit, long bytes) {
        return begunAgo > headLimit + GRANTED + (long) (bytes / BYTES_A_MICRO);
    }

    /** The longest that a body of this length may take, or one of unknown length where it is below nought. */
    static long longest(long length) {
        return (long) ((length < 0 ? Transport.MOST_FLOWING : length) / BYTES_A_MICRO) + TimeUnit.MINUTES.toMicros(1);
    }
}
