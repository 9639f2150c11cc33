package reedmux.gatekeeper.script;

import java.util.List;
import java.util.Map;
import reedmux.gatekeeper.script.ScriptException.ScriptPosition;

/** Something that a script declares, such as {@code budget(share = 0.1)}, with where each key was told. */
public record Declaration(String kind, ScriptPosition position, Map<String, DeclaredValue> keys) {

    /** One key's value and its place. */
    public record DeclaredValue(Object value, ScriptPosition position) {}

    /** A function of the script that declares; {@code whole}: a call of it stands for itself. */
    public record DeclarationKind(String name, boolean topLevel, List<String> keys)
            implements ScriptValues.ScriptCallable {}

    @Override
    public String toString() {
        return kind + "(...)";
    }
}
