package reedmux.control.rpc;

/**
 * Thrown if bytes are not a valid message, because they are truncated, corrupt or in a format unknown to this version.
 * It has no stack trace, because any peer can cause it as often as it likes.
 */
public final class MessageDecodingException extends Exception {
    private static final long serialVersionUID = 1L;
    private final int offset;

    MessageDecodingException(int offset, String problem) {
        super(describe(offset, problem), null, false, false);
        this.offset = offset;
    }

    MessageDecodingException(int offset, RuntimeException cause) {
        super(describe(offset, cause.getMessage()), cause, false, false);
        this.offset = offset;
    }

    private static String describe(int offset, String problem) {
        return "at byte " + offset + ": " + problem;
    }

    /** Returns the number of bytes that had been read when the error was detected. */
    public int offset() {
        return offset;
    }
}
