package reedmux.gatekeeper.failover;

/** The outcome of a forwarded request. */
public enum ForwardResult {
    /** The other region sent a response, with any status except a rejection. */
    ANSWERED,
    /** The other region rejected the request, which certainly did not execute. */
    REJECTED,
    /** No response was received: the connection could not be opened, it broke, or the request timed out. */
    FAILED,
    /** The request was cancelled here because its consumer stopped waiting. */
    CANCELLED
}
