package reedmux.gatekeeper.reducer;

/** The final answer to an invocation. */
public sealed interface FinalAnswer {

    /** A provider's answer, passed on unchanged. */
    record Served(CallResult.ResponseReceived result) implements FinalAnswer {}

    /**
     * Rejected; a repeat has no second effect.
     *
     * @param retryAfter how long the consumer had better wait before that, in microseconds
     * @param attempted  whether it had been sent
     * @param neverRan   whether it certainly has not run, and not only may be repeated all the same
     */
    record Rejected(long retryAfter, boolean attempted, boolean neverRan) implements FinalAnswer {}

    /**
     * Failed: it may have run.
     *
     * @param deadlineExceeded whether its time had run out
     */
    record Failed(boolean deadlineExceeded) implements FinalAnswer {}
}
