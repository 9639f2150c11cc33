package reedmux.simulation.invariants;

/** A history that cannot be read; the message names the line and its number. */
public final class MalformedHistoryException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    MalformedHistoryException(int lineNumber, String what, Throwable cause) {
        super("line " + lineNumber + ": " + what, cause);
    }
}
