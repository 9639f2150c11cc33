package reedmux.common.http1;

/** A message that cannot be read, or in two ways; {@code status} is what its sender is told. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1;
    private final int status;

    public MalformedMessageException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    public int status() {
        return status;
    }
}
