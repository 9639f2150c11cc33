package reedmux.common.http1;

/**
 * Thrown when a message violates RFC 9112 or when two parsers might disagree about its boundaries. It has no stack
 * trace, because peers can cause any number of these exceptions.
 */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1;
    private final int status;

    /**
     * Creates an exception for a message that is rejected.
     *
     * @param status  the status code of the response to the sender
     * @param message the text of the response, which describes the violation
     */
    public MalformedMessageException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    /** Returns the status code of the response to the sender. */
    public int status() {
        return status;
    }
}
