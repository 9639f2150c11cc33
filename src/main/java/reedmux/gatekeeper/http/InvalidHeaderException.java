package reedmux.gatekeeper.http;

/** A header of a request that is missing or invalid; the message names it and becomes the response's text. */
final class InvalidHeaderException extends Exception {
    private static final long serialVersionUID = 1;

    /** Without a stack trace: the fault is the consumer's, and a flood of such requests has to be cheap. */
    InvalidHeaderException(String message) {
        super(message, null, false, false);
    }
}
