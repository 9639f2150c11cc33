package reedmux.gatekeeper.script;

/** An error in a settings script; the message has the form {@code FILE:LINE:COLUMN: ERROR}. */
public final class ScriptException extends Exception {
    private static final long serialVersionUID = 1;

    /** A position in a script. Lines and columns are numbered from 1. */
    public record ScriptPosition(int line, int column) {
        /** The start of a script, used for errors that concern the script as a whole. */
        public static final ScriptPosition START = new ScriptPosition(1, 1);
    }

    private final transient ScriptPosition position;

    /** Creates an exception for an error in {@code file} at {@code position}. */
    public ScriptException(String file, ScriptPosition position, String message) {
        this(file, position, message, null);
    }

    /** Creates an exception for an error in {@code file} with a cause, which may be null. */
    public ScriptException(String file, ScriptPosition position, String message, Throwable cause) {
        super(file + ':' + position.line() + ':' + position.column() + ": " + message, cause, false, false);
        this.position = position;
    }

    /** Creates an exception for an error that the parser or the interpreter detected in {@code file}. */
    public ScriptException(String file, UncheckedScriptException fault) {
        this(file, fault.position(), fault.getMessage(), fault);
    }

    /** Returns the position of the error in the script. */
    public ScriptPosition position() {
        return position;
    }
}
