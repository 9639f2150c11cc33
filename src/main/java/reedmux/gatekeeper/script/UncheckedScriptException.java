package reedmux.gatekeeper.script;

import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.misc.ParseCancellationException;
import reedmux.gatekeeper.script.ScriptException.ScriptPosition;

/**
 * An error in a script, thrown through the generated parser and the interpreter. Whoever knows the script's file turns
 * it into a {@link ScriptException}; it never leaves the settings.
 */
public final class UncheckedScriptException extends ParseCancellationException {
    private static final long serialVersionUID = 1;
    private final transient ScriptPosition position;

    /** An error at a position of the script. */
    public UncheckedScriptException(ScriptPosition position, String message) {
        super(message);
        this.position = position;
    }

    UncheckedScriptException(ScriptPosition position, String message, Throwable cause) {
        super(message, cause);
        this.position = position;
    }

    /** Where in the script the error is. */
    public ScriptPosition position() {
        return position;
    }

    static ScriptPosition positionOf(Token token) {
        return new ScriptPosition(token.getLine(), token.getCharPositionInLine() + 1);
    }

    /** Leaves the stack trace out: the error is in the script, whose position it carries. */
    @Override
    public synchronized Throwable fillInStackTrace() {
        return this;
    }
}
