package reedmux.attempt;

import reedmux.message.Head;

/** A checker's answer, whole, or one of ours. */
public sealed interface Answer {

    /** What a checker has said; {@code notRun}: that it has not run the request. */
    record OfChecker(Head head, byte[] body, boolean notRun) implements Answer {}

    /** Ours; {@code retryAfter} in microseconds, below nought for none. */
    record Own(int status, String text, long retryAfter) implements Answer {}
}
