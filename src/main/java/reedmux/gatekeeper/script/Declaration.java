package reedmux.gatekeeper.script;

import java.util.List;
import java.util.Map;
import reedmux.gatekeeper.script.ScriptException.ScriptPosition;

/**
 * A declaration made by a call such as {@code budget(share = 0.1)}.
 *
 * @param kind     the name of the function that was called
 * @param position the position of the call
 * @param keys     the named arguments of the call, each with its own position
 */
public record Declaration(String kind, ScriptPosition position, Map<String, DeclaredValue> keys) {

    /** The value of a key and the position of that argument in the script. */
    public record DeclaredValue(Object value, ScriptPosition position) {}

    /**
     * A function whose calls are declarations.
     *
     * @param name     the name of the function in scripts
     * @param topLevel whether a call is a declaration of its own; otherwise its result is only used as the value of
     *                 a key of another declaration
     * @param keys     the names of the arguments that the function accepts
     */
    public record DeclarationKind(String name, boolean topLevel, List<String> keys)
            implements ScriptValues.ScriptCallable {}

    @Override
    public String toString() {
        return kind + "(...)";
    }
}
