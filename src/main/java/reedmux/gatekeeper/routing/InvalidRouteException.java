package reedmux.gatekeeper.routing;

/** A route that is malformed or contradicts another one; the message names the lines. */
public final class InvalidRouteException extends Exception {
    private static final long serialVersionUID = 1;
    private final int line;

    InvalidRouteException(int line, String message) {
        super(message, null, false, false);
        this.line = line;
    }

    /** The line of the route, the later one of two. */
    public int line() {
        return line;
    }
}
