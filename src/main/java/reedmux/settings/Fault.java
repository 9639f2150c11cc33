package reedmux.settings;

import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.misc.ParseCancellationException;
import reedmux.settings.ScriptException.Place;

/** A fault on its way out of the parser or interpreter; becomes a {@link ScriptException} at the edge. */
final class Fault extends ParseCancellationException {
    private static final long serialVersionUID = 1;
    private final transient Place place;

    Fault(Place place, String message) {
        super(message);
        this.place = place;
    }

    Place place() {
        return place;
    }

    static Place at(Token token) {
        return new Place(token.getLine(), token.getCharPositionInLine() + 1);
    }

    @Override
    public synchronized Throwable fillInStackTrace() {
        return this; // it tells of the script, not of us
    }
}
