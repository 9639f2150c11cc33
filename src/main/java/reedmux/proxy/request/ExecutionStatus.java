package reedmux.proxy.request;

/** What the proxy knows about whether a checker has executed a request that was sent to it. */
public enum ExecutionStatus {
    /** The request was not executed and never will be: no byte of it was sent, or the checker reported so. */
    NOT_EXECUTED,
    /** At least part of the request was sent, and no usable response was received. */
    MAY_HAVE_EXECUTED,
    /** The response to the request was received. */
    EXECUTED;

    /** Returns whether the request can be sent to another checker without the risk that it is executed twice. */
    public boolean isSafeToRetry() {
        return this == NOT_EXECUTED;
    }
}
