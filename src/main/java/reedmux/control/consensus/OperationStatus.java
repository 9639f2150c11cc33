package reedmux.control.consensus;

/** The results of an operator's request. They are sent to the operator as HTTP status codes. */
public final class OperationStatus {
    /** The request has succeeded; a change is persisted by a quorum. */
    public static final int OK = 200;
    /** The request can't be parsed, or its items are not valid together with the configuration. */
    public static final int INVALID = 400;
    /** A revision was committed with different content, or a removal would leave too few members. */
    public static final int CONFLICT = 409;
    /** No quorum replied in time. The request may or may not take effect, and may be sent again. */
    public static final int UNAVAILABLE = 503;

    private OperationStatus() {}
}
