package reedmux.simulation.invariants;

/** Thrown when a history is malformed; the message contains the line number and the reason. */
public final class MalformedHistoryException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    MalformedHistoryException(int lineNumber, String reason, Throwable cause) {
        super("line " + lineNumber + ": " + reason, cause);
    }
}
