package reedmux.gatekeeper.routing;

/** Routes that cannot be compiled; the message names the lines, and {@link #line} is the later one. */
public final class InvalidRouteException extends Exception {
    private static final long serialVersionUID = 1;
    private final int line;

    InvalidRouteException(int line, String message) {
        super(message, null, false, false);
        this.line = line;
    }

    public int line() {
        return line;
    }
}
