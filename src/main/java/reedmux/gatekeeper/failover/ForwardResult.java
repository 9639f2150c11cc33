package reedmux.gatekeeper.failover;

/** How a request that went to another region came back. */
public enum ForwardResult {
    /** With an answer, good or bad. */
    ANSWERED,
    /** Turned away, and certainly not run. */
    REJECTED,
    /** Not at all: no connection, a break, or no answer in time. */
    FAILED,
    /** We ended it, as nobody waited any more. */
    CANCELLED
}
