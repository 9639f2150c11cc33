package reedmux.gatekeeper.routing;

/** Thrown for a route that is malformed or conflicts with another route. The message contains the line numbers. */
public final class InvalidRouteException extends Exception {
    private static final long serialVersionUID = 1;
    private final int line;

    InvalidRouteException(int line, String message) {
        super(message, null, false, false);
        this.line = line;
    }

    /** Returns the line of the route; of two conflicting routes, the line of the later one. */
    public int line() {
        return line;
    }
}
