package reedmux.gatekeeper.reducer;

/** The final answer to an invocation, sent to its consumer. */
public sealed interface FinalAnswer {

    /** The response of the upstream call, forwarded unchanged. */
    record Served(CallResult.ResponseReceived result) implements FinalAnswer {}

    /**
     * The invocation was rejected. A retry is safe: either the request did not run or it is idempotent.
     *
     * @param retryAfter how long the consumer should wait before a retry, in microseconds
     * @param attempted  whether at least one attempt was made
     * @param neverRan   whether the request is known not to have run. If false, a retry is safe only because the
     *     request is idempotent
     */
    record Rejected(long retryAfter, boolean attempted, boolean neverRan) implements FinalAnswer {}

    /**
     * The invocation failed and the request may have run.
     *
     * @param deadlineExceeded whether it failed because its deadline or the time limit of a call was exceeded
     */
    record Failed(boolean deadlineExceeded) implements FinalAnswer {}
}
