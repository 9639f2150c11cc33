package reedmux.gatekeeper.reducer;

/** The final answer to an invocation. */
public sealed interface FinalAnswer {

    /** A provider's answer, passed on unchanged. */
    record Served(CallResult.ResponseReceived result) implements FinalAnswer {}

    /**
     * Turned away, and better not back before {@code retryAfter}; {@code tried} when it had been sent,
     * {@code neverRan} when it certainly has not run, and not only may be repeated all the same.
     */
    record Rejected(long retryAfter, boolean attempted, boolean neverRan) implements FinalAnswer {}

    /** Failed, promising nothing; {@code late} when time had run out. */
    record Failed(boolean deadlineExceeded) implements FinalAnswer {}
}
