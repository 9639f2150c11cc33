package reedmux.proxy.request;

/** What is known of whether a checker has executed a request that was sent to it. */
public enum ExecutionStatus {
    /** It was not executed and never will be: no byte of it went out, or the checker says so. */
    NOT_EXECUTED,
    /** It went out at least in part, and no usable response came back. */
    MAY_HAVE_EXECUTED,
    /** Its response has come. */
    EXECUTED;

    /** Whether the request may go to another checker without the risk that it is executed twice. */
    public boolean isSafeToRetry() {
        return this == NOT_EXECUTED;
    }
}
