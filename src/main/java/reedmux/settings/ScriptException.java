package reedmux.settings;

/** What is wrong with a settings script, and where: {@code FILE:LINE:COLUMN: what}. */
public final class ScriptException extends Exception {
    private static final long serialVersionUID = 1;

    /** A place in a script; lines and columns count from 1. */
    public record Place(int line, int column) {}

    private final transient Place place;

    ScriptException(String file, Place place, String message) {
        super(file + ':' + place.line() + ':' + place.column() + ": " + message, null, false, false);
        this.place = place;
    }

    /** Where it is. */
    public Place place() {
        return place;
    }
}
