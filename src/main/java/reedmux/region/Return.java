package reedmux.region;

/** How a request that went to another region came back. */
public enum Return {
    /** With an answer, good or bad. */
    ANSWERED,
    /** Turned away, and certainly not run. */
    REFUSED,
    /** Not at all: no connection, a break, or no answer in time. */
    FAILED,
    /** We ended it, as nobody waited any more. */
    GIVEN_UP
}
