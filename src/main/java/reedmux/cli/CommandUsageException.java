package reedmux.cli;

/** Thrown for invalid or missing options or arguments; the message names the error. */
final class CommandUsageException extends Exception {
    private static final long serialVersionUID = 1;

    CommandUsageException(String message) {
        super(message);
    }
}
