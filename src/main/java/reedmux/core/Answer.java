package reedmux.core;

/** The final answer to an invocation. */
public sealed interface Answer {

    /** A provider's answer, passed on unchanged. */
    record Served(CallResult.Answered result) implements Answer { }

    /** Turned away, and better not back before {@code retryAfter}; {@code tried} when it had been sent. */
    record Rejection(long retryAfter, boolean tried) implements Answer { }

    /** Failed, promising nothing; {@code late} when time had run out. */
    record Failed(boolean late) implements Answer { }
}
