package reedmux.gatekeeper.script;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.antlr.v4.runtime.Token;

/** Names and their values; a name that is not bound here is looked up in the enclosing scope. */
final class ScriptScope {
    private final ScriptScope enclosing;
    private final Map<String, Object> names = new HashMap<>();

    /** A scope within {@code enclosing}, which is null for the outermost one. */
    ScriptScope(ScriptScope enclosing) {
        this.enclosing = enclosing;
    }

    void bind(String name, Object value) {
        names.put(name, value);
    }

    /** The value bound in this very scope, or null. */
    Object lookUpLocal(String name) {
        return names.get(name);
    }

    /** The value bound in this scope or in the nearest one around it, or null. */
    Object lookUp(String name) {
        Object found = names.get(name);
        return found != null || enclosing == null ? found : enclosing.lookUp(name);
    }

    /** As {@link #lookUp}; a name that is not bound is an error. */
    Object resolve(Token name) {
        Object found = lookUp(name.getText());
        if (found == null) {
            throw unknownName(name);
        }
        return found;
    }

    /** As {@link #lookUpLocal}; a name that is not bound here is an error. */
    Object resolveLocal(Token name) {
        Object found = lookUpLocal(name.getText());
        if (found == null) {
            throw unknownName(name);
        }
        return found;
    }

    private UncheckedScriptException unknownName(Token name) {
        Set<String> known = new TreeSet<>();
        for (ScriptScope scope = this; scope != null; scope = scope.enclosing) {
            known.addAll(scope.names.keySet());
        }
        return new UncheckedScriptException(
                UncheckedScriptException.positionOf(name),
                "unknown name '" + name.getText() + "'" + NameSuggestions.suggest(name.getText(), known));
    }
}
