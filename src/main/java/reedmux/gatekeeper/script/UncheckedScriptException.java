package reedmux.gatekeeper.script;

import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.misc.ParseCancellationException;
import reedmux.gatekeeper.script.ScriptException.ScriptPosition;

/**
 * An error in a script, without the name of its file. It is unchecked because it propagates through the generated
 * parser. Callers that know the file name convert it to a {@link ScriptException}; it does not propagate beyond the
 * packages that read settings scripts.
 */
public final class UncheckedScriptException extends ParseCancellationException {
    private static final long serialVersionUID = 1;
    private final transient ScriptPosition position;

    /** Creates an exception for an error at a position in the script. */
    public UncheckedScriptException(ScriptPosition position, String message) {
        super(message);
        this.position = position;
    }

    UncheckedScriptException(ScriptPosition position, String message, Throwable cause) {
        super(message, cause);
        this.position = position;
    }

    /** Returns the position of the error in the script. */
    public ScriptPosition position() {
        return position;
    }

    static ScriptPosition positionOf(Token token) {
        return new ScriptPosition(token.getLine(), token.getCharPositionInLine() + 1);
    }

    /** Omits the stack trace, since the error is in the script and its position is part of the exception. */
    @Override
    public synchronized Throwable fillInStackTrace() {
        return this;
    }
}
