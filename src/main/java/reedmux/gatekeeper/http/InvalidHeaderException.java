package reedmux.gatekeeper.http;

/** Thrown if a request header is missing or invalid; the message names the header and becomes the response's text. */
final class InvalidHeaderException extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * Creates an exception without a stack trace: the consumer causes it, and a flood of such requests must be cheap.
     */
    InvalidHeaderException(String message) {
        super(message, null, false, false);
    }
}
