package reedmux.cli;

/** Options or arguments that cannot be used; the message says what is wrong or missing. */
final class CommandUsageException extends Exception {
    private static final long serialVersionUID = 1;

    CommandUsageException(String message) {
        super(message);
    }
}
