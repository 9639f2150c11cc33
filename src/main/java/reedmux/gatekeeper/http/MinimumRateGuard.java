package reedmux.gatekeeper.http;

import java.util.concurrent.TimeUnit;

/**
 * Enforces the minimum rate at which a request has to be received, which separates slow consumers from those that
 * occupy connections deliberately.
 */
final class MinimumRateGuard {
    /**
     * Minimum rate in bytes per microsecond, equal to 60 kB/s; regular consumers send at least 64 kB/s, and a slightly
     * lower rate is tolerated.
     */
    private static final double MIN_BYTES_PER_MICRO = 0.06;
    /** Time limit for the first bytes of a body, in addition to the time limit for the head. */
    private static final long BODY_GRACE_MICROS = TimeUnit.MILLISECONDS.toMicros(400);

    private MinimumRateGuard() {}

    /**
     * Whether fewer bytes of a body have been received than the minimum rate requires.
     *
     * @param elapsedMicros     time since the start of the request
     * @param headTimeoutMicros time limit for the head
     * @param receivedBytes     number of body bytes received so far
     */
    static boolean isTooSlow(long elapsedMicros, long headTimeoutMicros, long receivedBytes) {
        return elapsedMicros > headTimeoutMicros + BODY_GRACE_MICROS + (long) (receivedBytes / MIN_BYTES_PER_MICRO);
    }

    /**
     * Returns the time limit for a body of this length, in microseconds; a negative length stands for an unknown one.
     */
    static long maxDurationMicros(long length) {
        return (long) ((length < 0 ? HttpTransport.MAX_STREAMED_BODY_BYTES : length) / MIN_BYTES_PER_MICRO)
                + TimeUnit.MINUTES.toMicros(1);
    }
}
