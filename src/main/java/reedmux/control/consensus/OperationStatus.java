package reedmux.control.consensus;

/**
 * The results of an operator's request. They are the HTTP status codes that the operator is answered with.
 */
public final class OperationStatus {
    /** The request was carried out; a change is on the disks of a quorum. */
    public static final int OK = 200;
    /** The request can't be read, or its items are not valid together with the configuration. */
    public static final int INVALID = 400;
    /** A revision was committed with another content, or a removal would leave too few members. */
    public static final int CONFLICT = 409;
    /** No quorum answered in time: the request may or may not be carried out, and may be sent again. */
    public static final int UNAVAILABLE = 503;

    private OperationStatus() {}
}
