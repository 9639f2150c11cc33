package reedmux.core;

/** The final answer to an invocation. */
public sealed interface Answer {

    /** A provider's answer, passed on unchanged. */
    record Served(CallResult.Answered result) implements Answer {}

    /**
     * Turned away, and better not back before {@code retryAfter}; {@code tried} when it had been sent,
     * {@code neverRan} when it certainly has not run, and not only may be repeated all the same.
     */
    record Rejection(long retryAfter, boolean tried, boolean neverRan) implements Answer {}

    /** Failed, promising nothing; {@code late} when time had run out. */
    record Failed(boolean late) implements Answer {}
}
