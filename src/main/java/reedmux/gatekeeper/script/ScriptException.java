package reedmux.gatekeeper.script;

/** An error in a settings script; the message has the form {@code FILE:LINE:COLUMN: what}. */
public final class ScriptException extends Exception {
    private static final long serialVersionUID = 1;

    /** A position in a script; lines and columns count from 1. */
    public record ScriptPosition(int line, int column) {
        /** The beginning of a script, for errors that concern all of it. */
        public static final ScriptPosition START = new ScriptPosition(1, 1);
    }

    private final transient ScriptPosition position;

    /** An error in {@code file} at {@code position}. */
    public ScriptException(String file, ScriptPosition position, String message) {
        this(file, position, message, null);
    }

    /** An error in {@code file} that follows from {@code cause}, which may be null. */
    public ScriptException(String file, ScriptPosition position, String message, Throwable cause) {
        super(file + ':' + position.line() + ':' + position.column() + ": " + message, cause, false, false);
        this.position = position;
    }

    /** An error that the parser or the interpreter found in {@code file}. */
    public ScriptException(String file, UncheckedScriptException fault) {
        this(file, fault.position(), fault.getMessage(), fault);
    }

    /** Where in the script the error is. */
    public ScriptPosition position() {
        return position;
    }
}
