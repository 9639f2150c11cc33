package reedmux.common.http1;

/**
 * A message that violates RFC 9112, or that two readers might frame differently. It carries no stack trace, as peers
 * cause it at will.
 */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1;
    private final int status;

    /**
     * A message that cannot be accepted.
     *
     * @param status  the status of the response to its sender
     * @param message the response's text: what is wrong
     */
    public MalformedMessageException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    /** The status of the response to its sender. */
    public int status() {
        return status;
    }
}
