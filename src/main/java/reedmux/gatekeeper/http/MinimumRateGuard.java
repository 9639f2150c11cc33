package reedmux.gatekeeper.http;

import java.util.concurrent.TimeUnit;

/**
 * The minimum rate at which a request has to be received: it tells slow consumers from those that occupy connections on
 * purpose. Times are microseconds.
 */
final class MinimumRateGuard {
    /** Usual consumers send at least 64 kB a second; somewhat less is tolerated. */
    private static final double MIN_BYTES_PER_MICRO = 0.06;
    /** The time for the first bytes of a body, besides the time of the head. */
    private static final long BODY_GRACE_MICROS = TimeUnit.MILLISECONDS.toMicros(400);

    private MinimumRateGuard() {}

    /**
     * Whether less of a body has been received than the rate requires.
     *
     * @param elapsedMicros     since the request began
     * @param headTimeoutMicros how long a head may take
     * @param receivedBytes       received of the body
     */
    static boolean isTooSlow(long elapsedMicros, long headTimeoutMicros, long receivedBytes) {
        return elapsedMicros > headTimeoutMicros + BODY_GRACE_MICROS + (long) (receivedBytes / MIN_BYTES_PER_MICRO);
    }

    /** How long a body of this length may take at most; a negative length is unknown. */
    static long maxDurationMicros(long length) {
        return (long) ((length < 0 ? HttpTransport.MAX_STREAMED_BODY_BYTES : length) / MIN_BYTES_PER_MICRO)
                + TimeUnit.MINUTES.toMicros(1);
    }
}
