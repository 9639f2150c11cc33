package reedmux.gatekeeper.script;

import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.misc.ParseCancellationException;
import reedmux.gatekeeper.script.ScriptException.ScriptPosition;

/** A fault on its way out of the parser or interpreter; becomes a {@link ScriptException} at the edge. */
public final class ScriptFaultException extends ParseCancellationException {
    private static final long serialVersionUID = 1;
    private final transient ScriptPosition position;

    public ScriptFaultException(ScriptPosition place, String message) {
        super(message);
        this.position = place;
    }

    public ScriptPosition position() {
        return position;
    }

    static ScriptPosition positionOf(Token token) {
        return new ScriptPosition(token.getLine(), token.getCharPositionInLine() + 1);
    }

    @Override
    public synchronized Throwable fillInStackTrace() {
        return this; // it tells of the script, not of us
    }
}
