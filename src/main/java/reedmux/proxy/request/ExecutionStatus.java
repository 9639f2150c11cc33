package reedmux.proxy.request;

/** What is known of whether a request has run at a checker that it was sent to. */
public enum ExecutionStatus {
    /** It has not run there and never will: it never came up, was never whole, or the checker says so. */
    NOT_EXECUTED,
    /** It went out, and nothing clear came back. */
    MAY_HAVE_EXECUTED,
    /** Its answer has come. */
    EXECUTED;

    /** Whether the request may go to another checker without any risk that it runs twice. */
    public boolean isSafeToRetry() {
        return this == NOT_EXECUTED;
    }
}
