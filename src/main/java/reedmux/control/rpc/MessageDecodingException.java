package reedmux.control.rpc;

/**
 * Thrown where bytes are not a message: they are truncated, corrupt or of a form that this version does not know. It
 * carries no stack trace, as peers cause it at will.
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

    /** Returns how many bytes had been read when the problem was found. */
    public int offset() {
        return offset;
    }
}
