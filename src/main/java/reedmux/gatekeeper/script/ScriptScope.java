package reedmux.gatekeeper.script;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.antlr.v4.runtime.Token;

/** A scope that maps names to values. Names that are not bound in it are looked up in the enclosing scope. */
final class ScriptScope {
    private final ScriptScope enclosing;
    private final Map<String, Object> names = new HashMap<>();

    /** Creates a scope inside {@code enclosing}, which is null for the outermost scope. */
    ScriptScope(ScriptScope enclosing) {
        this.enclosing = enclosing;
    }

    void bind(String name, Object value) {
        names.put(name, value);
    }

    /** Returns the value bound in this scope itself, or null; enclosing scopes are not searched. */
    Object lookUpLocal(String name) {
        return names.get(name);
    }

    /** Returns the value bound in this scope or in the nearest enclosing scope that binds the name, or null. */
    Object lookUp(String name) {
        Object found = names.get(name);
        return found != null || enclosing == null ? found : enclosing.lookUp(name);
    }

    /** Returns the same value as {@link #lookUp}, but throws an exception if the name is not bound. */
    Object resolve(Token name) {
        Object found = lookUp(name.getText());
        if (found == null) {
            throw unknownName(name);
        }
        return found;
    }

    /** Returns the same value as {@link #lookUpLocal}, but throws an exception if this scope does not bind the name. */
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
