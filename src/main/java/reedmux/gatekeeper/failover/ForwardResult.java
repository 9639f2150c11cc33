package reedmux.gatekeeper.failover;

/** How a forwarded request ended. */
public enum ForwardResult {
    /** With a response of any status, but a rejection. */
    ANSWERED,
    /** It was rejected, and certainly did not run. */
    REJECTED,
    /** Without a response: no connection, a broken one, or a time-out. */
    FAILED,
    /** We cancelled it, as its consumer did not wait any more. */
    CANCELLED
}
