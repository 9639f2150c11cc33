package reedmux.gatekeeper.script;

/** What is wrong with a settings script, and where: {@code FILE:LINE:COLUMN: what}. */
public final class ScriptException extends Exception {
    private static final long serialVersionUID = 1;

    /** A place in a script; lines and columns count from 1. */
    public record ScriptPosition(int line, int column) {}

    private final transient ScriptPosition position;

    public ScriptException(String file, ScriptPosition place, String message) {
        super(file + ':' + place.line() + ':' + place.column() + ": " + message, null, false, false);
        this.position = place;
    }

    /** Where it is. */
    public ScriptPosition position() {
        return position;
    }
}
