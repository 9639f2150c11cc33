package reedmux.gatekeeper.script;

import java.util.List;
import java.util.Map;
import reedmux.gatekeeper.script.ScriptException.ScriptPosition;

/** What a call such as {@code budget(share = 0.1)} declares, with the position of the call and of each key. */
public record Declaration(String kind, ScriptPosition position, Map<String, DeclaredValue> keys) {

    /** The value of one key and its position. */
    public record DeclaredValue(Object value, ScriptPosition position) {}

    /**
     * A function whose calls are declarations.
     *
     * @param topLevel whether a call counts by itself; otherwise it only serves as the value of another one's key
     * @param keys     the named arguments that it takes
     */
    public record DeclarationKind(String name, boolean topLevel, List<String> keys)
            implements ScriptValues.ScriptCallable {}

    @Override
    public String toString() {
        return kind + "(...)";
    }
}
