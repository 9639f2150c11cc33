package reedmux.gatekeeper.http;

import java.util.concurrent.TimeUnit;

/**
 * The line between a slow consumer and one that is up to no good: by when how much of a request must have
 * come in. Times are microseconds.
 */
final class MinimumRateGuard {
    /** Usual consumers bring 64 kB a second at least; somewhat less is borne. */
    private static final double MIN_BYTES_PER_MICRO = 0.06;
    /** What a body has for its first bytes, beside what its head may take. */
    private static final long BODY_GRACE_MICROS = TimeUnit.MILLISECONDS.toMicros(400);

    private MinimumRateGuard() {}

    /**
     * Whether a request that began so long ago should have more of its body here than it has.
     *
     * @param headLimit what a head may take
     */
    static boolean isTooSlow(long begunAgo, long headLimit, long bytes) {
        return begunAgo > headLimit + BODY_GRACE_MICROS + (long) (bytes / MIN_BYTES_PER_MICRO);
    }

    /** The longest that a body of this length may take, or one of unknown length where it is below nought. */
    static long maxDurationMicros(long length) {
        return (long) ((length < 0 ? HttpTransport.MAX_STREAMED_BODY_BYTES : length) / MIN_BYTES_PER_MICRO)
                + TimeUnit.MINUTES.toMicros(1);
    }
}
