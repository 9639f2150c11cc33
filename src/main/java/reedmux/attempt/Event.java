package reedmux.attempt;

/** What {@link Requests} is told. */
public sealed interface Event {

    /** A request may be sent on. */
    record Taken(Exchange exchange) implements Event {}

    /** A sending has ended; {@code answer} is null where none came. */
    record Ended(Try what, Verdict verdict, Answer.OfChecker answer) implements Event {}

    /** A sending's connection should be up by now. */
    record ConnectOverdue(Try what) implements Event {}

    /** A repeatable request has waited for its answer for longer than usual. */
    record Slow(Exchange exchange) implements Event {}

    /** A request has waited for a checker for as long as it may. */
    record WaitOver(Exchange exchange) implements Event {}

    /** A sending has had no end long after its request's. */
    record TryOverdue(Try what) implements Event {}

    /** The time that a request may take is over. */
    record DeadlinePassed(Exchange exchange) implements Event {}

    /** Nobody waits for the answer any more. */
    record ClientLeft(Exchange exchange) implements Event {}

    /** The process ends: who still waits for a checker is told so. */
    record Ending() implements Event {}

    /** There may be room at a checker. */
    record Room() implements Event {}
}
